/// @file
/// @brief State machines that submit a release note and install a configuration.

#include <fuchsiagw/core/config_store.hpp>

#include <algorithm>
#include <cassert>
#include <charconv>

namespace fuchsiagw::core {

namespace {

constexpr std::string_view objectPrefix = "configuration-";
constexpr auto initialRetryDelay = std::chrono::milliseconds(50);
constexpr auto maxRetryDelay = std::chrono::milliseconds(1600);
constexpr unsigned maxRetryDoublings = 5; ///< initialRetryDelay * 2^5 is maxRetryDelay
/// Without a part of the body for this time, the next source is tried.
constexpr auto fetchTimeout = std::chrono::seconds(2);
constexpr std::size_t maxEarlierVersions = 8;
constexpr std::size_t maxSources = 8;
/// After one conflict the row shows the version that won; repeated ones mean a faulty platform.
constexpr unsigned maxCommitConflicts = 3;

bool splitAtSpace(std::string_view text, std::string_view &first, std::string_view &rest)
{
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos || space == 0 || space + 1 == text.size())
        return false;
    first = text.substr(0, space);
    rest = text.substr(space + 1);
    return true;
}

bool readNumber(std::string_view text, std::uint64_t &number)
{
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    return read.ec == std::errc{} && read.ptr == text.data() + text.size();
}

submit_action finish(submit_state &state, const std::error_code &error, note_problem problem = {})
{
    state.step = submit_step::Finish;
    state.result.error = error;
    state.result.problem = std::move(problem);
    return {};
}

submit_action finishApplied(submit_state &state, configuration_version version,
                            bool wasAppliedBefore)
{
    state.mayHaveCommitted = false;
    state.result.version = version;
    state.result.wasAppliedBefore = wasAppliedBefore;
    return finish(state, {});
}

submit_action makeAction(const submit_state &state)
{
    submit_action action;
    action.step = state.step;
    switch (state.step) {
    case submit_step::ReadRow:
        action.key = configurationRowKey;
        break;
    case submit_step::ReadNote:
        action.key = noteRowKey(state.note.id);
        break;
    case submit_step::ReadObject:
        action.key = state.row.objectName;
        break;
    case submit_step::PutObject:
        action.key = state.nextName;
        action.body = state.nextBody;
        break;
    case submit_step::Commit:
        // The digest covers the note's id, base and changes. The same note thus has the same
        // transaction id at every instance.
        action.transactionId = "note-" + state.noteDigest;
        action.checks = { { std::string(configurationRowKey), state.rowVersion },
                          { noteRowKey(state.note.id), 0 } };
        action.puts = { { std::string(configurationRowKey),
                          writeRow({ state.next->version, state.note.id, state.nextName }) },
                        { noteRowKey(state.note.id),
                          std::to_string(state.next->version) + " " + state.noteDigest } };
        break;
    case submit_step::Finish:
        break;
    }
    return action;
}

submit_action enterStep(submit_state &state, submit_step step)
{
    state.step = step;
    return makeAction(state);
}

submit_action scheduleRetry(submit_state &state, time_point now)
{
    const duration delay = std::min<duration>(
            initialRetryDelay * (1U << std::min(state.consecutiveFailures, maxRetryDoublings)),
            maxRetryDelay);
    ++state.consecutiveFailures;
    if (now + delay >= state.deadline)
        return finish(state, state.mayHaveCommitted ? error_kind::NoteOutcomeUnknown
                                                    : error_kind::PlatformUnavailable);
    if (state.step == submit_step::Commit)
        state.step = submit_step::ReadRow;
    submit_action action = makeAction(state);
    action.notBefore = now + delay;
    return action;
}

submit_action failDamaged(submit_state &state, std::string text)
{
    const error_kind kind =
            state.mayHaveCommitted ? error_kind::NoteOutcomeUnknown : error_kind::Internal;
    return finish(state, kind, { kind, std::move(text), {} });
}

submit_action onRowRead(submit_state &state, const platform_answer &answer)
{
    state.rowVersion = answer.isFound ? answer.rowVersion : 0;
    state.row = {};
    if (answer.isFound && !readRow(answer.value, state.row))
        return failDamaged(state, "the platform's row 'configuration' is damaged");
    return enterStep(state, submit_step::ReadNote);
}

submit_action prepareNextVersion(submit_state &state, const configuration_codec &codec)
{
    configuration next;
    note_problem problem;
    const std::error_code error = applyNote(*state.base, state.note, next, problem);
    if (error)
        return finish(state, error, std::move(problem));
    state.nextBody = codec.write(next);
    state.nextName = objectNameOf(next.version, codec.digest(state.nextBody));
    state.next = std::make_shared<const configuration>(std::move(next));
    return enterStep(state, submit_step::PutObject);
}

/// Processes the note's row, which is read after the row with the newest version.
submit_action onNoteRead(submit_state &state, const platform_answer &answer,
                         const configuration_codec &codec)
{
    if (answer.isFound) {
        std::string_view version;
        std::string_view digest;
        if (!splitAtSpace(answer.value, version, digest)
            || !readNumber(version, state.result.version))
            return failDamaged(state, "the platform's row of this note is damaged");
        if (digest != state.noteDigest) {
            state.mayHaveCommitted = false;
            return finish(state, error_kind::NoteInvalid,
                          { error_kind::NoteInvalid,
                            "another note with this id was applied; choose another id",
                            {} });
        }
        state.result.wasAppliedBefore = true;
        if (state.next && state.next->version == state.row.version
            && state.nextName == state.row.objectName) {
            state.result.newest = state.next;
            state.result.newestName = state.nextName;
            return finishApplied(state, state.result.version, true);
        }
        return enterStep(state, submit_step::ReadObject);
    }
    if (state.mayHaveCommitted) {
        // The newest version is unchanged, so the first commit may still take effect. The
        // transaction id makes it safe to send the commit again.
        if (state.base && state.row.version == state.base->version)
            return enterStep(state, submit_step::Commit);
        state.mayHaveCommitted = false;
    }
    if (state.row.version > 0)
        return enterStep(state, submit_step::ReadObject);
    state.base = std::make_shared<configuration>();
    return prepareNextVersion(state, codec);
}

bool matchesRow(const configuration &config, std::string_view body, const configuration_row &row,
                const configuration_codec &codec)
{
    return config.version == row.version
           && objectNameOf(config.version, codec.digest(body)) == row.objectName;
}

submit_action onObjectRead(submit_state &state, const platform_answer &answer, time_point now,
                           const configuration_codec &codec)
{
    if (!answer.isFound)
        return scheduleRetry(state, now);
    configuration read;
    std::string problem;
    if (codec.read(answer.value, read, problem)
        || !matchesRow(read, answer.value, state.row, codec))
        return failDamaged(state, "the object '" + state.row.objectName
                                          + "' does not match its name: " + problem);
    state.base = std::make_shared<const configuration>(std::move(read));
    state.result.newest = state.base;
    state.result.newestName = state.row.objectName;
    if (state.result.wasAppliedBefore)
        return finishApplied(state, state.result.version, true);
    return prepareNextVersion(state, codec);
}

submit_action onCommitAnswer(submit_state &state, const platform_answer &answer)
{
    if (answer.isFound) {
        state.result.newest = state.next;
        state.result.newestName = state.nextName;
        return finishApplied(state, state.next->version, false);
    }
    // The platform refused the commit: another submit, or the same note submitted at another
    // instance, committed first.
    state.mayHaveCommitted = false;
    if (++state.commitConflicts > maxCommitConflicts)
        return finish(state, error_kind::PlatformUnavailable);
    return enterStep(state, submit_step::ReadRow);
}

/// Sorts by version, greatest first. Among equal versions the source that failed least recently
/// stays first.
void sortSources(std::vector<fetch_source> &sources)
{
    std::stable_sort(sources.begin(), sources.end(),
                     [](const fetch_source &left, const fetch_source &right) {
                         return left.version > right.version;
                     });
}

} // namespace

std::string writeRow(const configuration_row &row)
{
    return std::to_string(row.version) + " " + row.noteId + " " + row.objectName;
}

bool readRow(std::string_view text, configuration_row &row)
{
    std::string_view version;
    std::string_view note;
    std::string_view object;
    std::string_view rest;
    configuration_row read;
    if (!splitAtSpace(text, version, rest) || !splitAtSpace(rest, note, object)
        || !readNumber(version, read.version) || read.version == 0
        || object.find(' ') != std::string_view::npos)
        return false;
    read.noteId = note;
    read.objectName = object;
    row = std::move(read);
    return true;
}

std::string objectNameOf(configuration_version version, std::string_view digest)
{
    return std::string(objectPrefix) + std::to_string(version) + "-" + std::string(digest);
}

std::string noteRowKey(std::string_view noteId)
{
    return "note-" + std::string(noteId);
}

submit_action startSubmit(submit_state &state, release_note note, time_point deadline,
                          const configuration_codec &codec)
{
    state = {};
    state.noteDigest = codec.digest(codec.writeNote(note));
    state.note = std::move(note);
    state.deadline = deadline;
    return enterStep(state, submit_step::ReadRow);
}

submit_action continueSubmit(submit_state &state, const platform_answer &answer, time_point now,
                             const configuration_codec &codec)
{
    assert(state.step != submit_step::Finish);
    if (state.step == submit_step::Commit && !answer.isAnswered)
        state.mayHaveCommitted = true;
    if (!answer.isAnswered)
        return scheduleRetry(state, now);
    state.consecutiveFailures = 0;
    switch (state.step) {
    case submit_step::ReadRow:
        return onRowRead(state, answer);
    case submit_step::ReadNote:
        return onNoteRead(state, answer, codec);
    case submit_step::ReadObject:
        return onObjectRead(state, answer, now, codec);
    case submit_step::PutObject:
        if (!answer.isFound)
            return failDamaged(state, "the platform has another content under the object's name");
        return enterStep(state, submit_step::Commit);
    case submit_step::Commit:
        return onCommitAnswer(state, answer);
    case submit_step::Finish:
        break;
    }
    return {};
}

bool isUnresolved(const submit_state &state)
{
    return state.step == submit_step::Commit || state.mayHaveCommitted;
}

std::optional<fetch_source> addFetchSource(config_store &store, const fetch_source &source,
                                           time_point now)
{
    if (source.version <= store.current->version)
        return std::nullopt;
    const auto known =
            std::find_if(store.sources.begin(), store.sources.end(),
                         [&source](const fetch_source &each) { return each.peer == source.peer; });
    if (known == store.sources.end()) {
        store.sources.push_back(source);
    } else if (known->version < source.version) {
        *known = source;
    }
    sortSources(store.sources);
    if (store.sources.size() > maxSources)
        store.sources.resize(maxSources);
    return nextFetch(store, now);
}

install_result installVersion(config_store &store, const fetch_source &source,
                              std::string_view body, const configuration_codec &codec)
{
    if (source.version <= store.current->version)
        return install_result::NotNewer;
    auto read = std::make_shared<configuration>();
    std::string problem;
    if (codec.read(body, *read, problem) || codec.write(*read) != body)
        return install_result::Damaged;
    const std::string name = objectNameOf(read->version, codec.digest(body));
    // A peer may have installed a newer version since its announcement, but never an older one.
    if (read->version < source.version || (!source.objectName.empty() && source.objectName != name))
        return install_result::Damaged;
    assert(read->version > store.current->version);
    if (store.current->version > 0)
        store.earlierVersions.push_back(store.current);
    if (store.earlierVersions.size() > maxEarlierVersions)
        store.earlierVersions.pop_front();
    store.current = std::move(read);
    store.currentObjectName = name;
    store.currentBody = body;
    store.isFetching = false;
    std::erase_if(store.sources, [&store](const fetch_source &each) {
        return each.version <= store.current->version;
    });
    return install_result::Installed;
}

void onFetchFailed(config_store &store, const fetch_source &source)
{
    store.isFetching = false;
    const auto known = std::find(store.sources.begin(), store.sources.end(), source);
    if (known == store.sources.end())
        return;
    // The source moves to the end whatever its version. It is tried again after the others.
    std::rotate(known, known + 1, store.sources.end());
}

std::optional<fetch_source> nextFetch(config_store &store, time_point now)
{
    if (store.isFetching && now >= store.fetchDeadline && !store.sources.empty())
        onFetchFailed(store, store.sources.front());
    if (store.isFetching || store.sources.empty())
        return std::nullopt;
    store.isFetching = true;
    store.fetchDeadline = now + fetchTimeout;
    return store.sources.front();
}

void onFetchProgress(config_store &store, const instance_id &peer, time_point now)
{
    const bool isSource =
            std::any_of(store.sources.begin(), store.sources.end(),
                        [&peer](const fetch_source &each) { return each.peer == peer; });
    if (store.isFetching && isSource)
        store.fetchDeadline = now + fetchTimeout;
}

std::optional<section_changes> changesSince(const config_store &store,
                                            configuration_version version)
{
    if (version == store.current->version)
        return section_changes{};
    for (const auto &each : store.earlierVersions) {
        if (each->version == version)
            return diffConfigurations(*each, *store.current);
    }
    return std::nullopt;
}

} // namespace fuchsiagw::core
