/// @file
/// @brief Tests of submitting a release note and installing a version.

#include <fuchsiagw/core/config_store.hpp>
#include <fuchsiagw/wire/configuration_json.hpp>
#include <fuchsiagw/wire/note_json.hpp>

#include <functional>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using namespace fuchsiagw::core;
using namespace std::chrono_literals;

namespace {

const time_point start{ 100s };

release_note switchNote(const std::string &id, configuration_version base, bool isOn = false)
{
    release_note note{ id, base, {} };
    note.changes.changed[{ section_kind::Switch, "loans", "" }] = switch_section{ isOn };
    return note;
}

struct fake_platform
{
    std::map<std::string, std::pair<std::uint64_t, std::string>> rows;
    std::map<std::string, std::string> objects;
    std::map<std::string, bool> transactions;
    unsigned commits = 0;

    platform_answer perform(const submit_action &action)
    {
        platform_answer answer{ true, false, 0, {} };
        const auto row = rows.find(action.key);
        const auto object = objects.find(action.key);
        switch (action.step) {
        case submit_step::ReadRow:
        case submit_step::ReadNote:
            if (row != rows.end())
                answer = { true, true, row->second.first, row->second.second };
            break;
        case submit_step::ReadObject:
            if (object != objects.end())
                answer = { true, true, 0, object->second };
            break;
        case submit_step::PutObject:
            answer.isFound = objects.emplace(action.key, action.body).first->second == action.body;
            break;
        case submit_step::Commit: {
            const auto [known, isNew] = transactions.emplace(action.transactionId, true);
            if (isNew) {
                for (const auto &[key, version] : action.checks)
                    known->second = known->second && rows[key].first == version;
                std::erase_if(rows, [](const auto &each) { return each.second.first == 0; });
                commits += known->second ? 1 : 0;
                for (const auto &[key, value] : action.puts) {
                    if (known->second)
                        rows[key] = { rows[key].first + 1, value };
                }
            }
            answer.isFound = known->second;
            break;
        }
        case submit_step::Finish:
            break;
        }
        return answer;
    }
};

enum class loss : std::uint8_t { None, Request, Answer };

using fault = std::function<loss(submit_step)>;

submit_state submit(fake_platform &platform, const release_note &note,
                    const fault &injectFault = {})
{
    submit_state state;
    time_point now = start;
    submit_action action = startSubmit(state, note, start + 10s, wire::configurationCodec());
    while (action.step != submit_step::Finish) {
        now = std::max(now, action.notBefore) + 1ms;
        const loss lostMessage = injectFault ? injectFault(action.step) : loss::None;
        platform_answer answer;
        if (lostMessage != loss::Request)
            answer = platform.perform(action);
        if (lostMessage != loss::None)
            answer = {};
        action = continueSubmit(state, answer, now, wire::configurationCodec());
    }
    return state;
}

} // namespace

TEST_GROUP(config_store){};

// Guards against a submit that doesn't build on the newest version: each note must create the
// version after its base.
TEST(config_store, submitsNotesInOrder)
{
    fake_platform platform;
    for (configuration_version base = 0; base < 3; ++base) {
        const submit_state state =
                submit(platform, switchNote("n" + std::to_string(base), base, base % 2 == 1));
        CHECK_FALSE(state.result.error);
        LONGS_EQUAL(base + 1, state.result.version);
        LONGS_EQUAL(base + 1, state.result.newest->version);
    }
}

// Guards against a note that is applied twice or reported as failed. This happens if the answer to
// a commit is lost and the retry doesn't detect that the commit took effect.
TEST(config_store, lostAnswersDoNotRepeatANote)
{
    for (unsigned lostAnswers = 1; lostAnswers < 4; ++lostAnswers) {
        fake_platform platform;
        unsigned left = lostAnswers;
        const submit_state state = submit(platform, switchNote("n", 0), [&left](submit_step step) {
            if (step != submit_step::Commit || left == 0)
                return loss::None;
            --left;
            return loss::Answer;
        });
        CHECK_FALSE(state.result.error);
        LONGS_EQUAL(1, platform.commits);
        const submit_state again = submit(platform, switchNote("n", 0));
        CHECK_TRUE(again.result.wasAppliedBefore);
        LONGS_EQUAL(1, again.result.version);
        CHECK_TRUE(submit(platform, switchNote("n", 0, true)).result.error
                   == error_kind::NoteInvalid);
        LONGS_EQUAL(1, platform.commits);
    }
}

// Guards against a report that nothing was changed although the commit may have taken effect: a
// commit without an answer must end as NoteOutcomeUnknown, an earlier step must not.
TEST(config_store, outcomeIsUnknownOnlyAfterTheCommit)
{
    const std::array<std::pair<submit_step, error_kind>, 4> cases{
        { { submit_step::ReadRow, error_kind::PlatformUnavailable },
          { submit_step::ReadNote, error_kind::PlatformUnavailable },
          { submit_step::PutObject, error_kind::PlatformUnavailable },
          { submit_step::Commit, error_kind::NoteOutcomeUnknown } }
    };
    for (const auto &[at, kind] : cases) {
        fake_platform platform;
        const submit_state state =
                submit(platform, switchNote("n", 0), [at = at](submit_step step) {
                    return step == at ? loss::Request : loss::None;
                });
        CHECK_TRUE(state.result.error == kind);
        CHECK_EQUAL(kind == error_kind::NoteOutcomeUnknown, isUnresolved(state));
    }
}

// Guards against two operators who submit notes to the same base at the same time, where the later
// commit overwrites the earlier one.
TEST(config_store, loserOfARaceGetsTheConflict)
{
    fake_platform platform;
    bool hasRaced = false;
    const submit_state state = submit(platform, switchNote("loser", 0), [&](submit_step step) {
        if (step == submit_step::PutObject && !hasRaced) {
            hasRaced = true;
            (void)submit(platform, switchNote("winner", 0));
        }
        return loss::None;
    });
    CHECK_TRUE(state.result.error == error_kind::NoteConflict);
    LONGS_EQUAL(1, platform.commits);
    LONGS_EQUAL(1, state.result.newest->version);
}

TEST_GROUP(take_in){};

namespace {

std::string bodyOf(configuration_version version)
{
    configuration config;
    config.version = version;
    return wire::writeConfiguration(config);
}

} // namespace

// Guards against a return to an older version, and against a body that is damaged or differs from
// the announced version or digest.
TEST(take_in, takesOnlyNewerAndMatchingBodies)
{
    config_store store;
    const auto &codec = wire::configurationCodec();
    CHECK_TRUE(installVersion(store, { { "p" }, 5, "" }, bodyOf(5), codec)
               == install_result::Installed);
    CHECK_TRUE(installVersion(store, { { "p" }, 5, "" }, bodyOf(5), codec)
               == install_result::NotNewer);
    CHECK_TRUE(installVersion(store, { { "p" }, 4, "" }, bodyOf(4), codec)
               == install_result::NotNewer);
    CHECK_TRUE(installVersion(store, { { "p" }, 7, "" }, bodyOf(6), codec)
               == install_result::Damaged);
    CHECK_TRUE(installVersion(store, { {}, 6, objectNameOf(6, "0") }, bodyOf(6), codec)
               == install_result::Damaged);
    CHECK_TRUE(installVersion(store, { { "p" }, 6, "" }, " " + bodyOf(6), codec)
               == install_result::Damaged);
    LONGS_EQUAL(5, store.current->version);
    CHECK_TRUE(installVersion(store, { { "p" }, 6, "" }, bodyOf(7), codec)
               == install_result::Installed);
    CHECK_TRUE(changesSince(store, 5).has_value());
    CHECK_FALSE(changesSince(store, 4).has_value());
}

// Guards against a source that fails or doesn't answer and blocks the fetch from other sources.
TEST(take_in, failedSourceGivesWayToTheNext)
{
    config_store store;
    CHECK_TRUE(addFetchSource(store, { { "p" }, 5, "" }, start).has_value());
    CHECK_FALSE(addFetchSource(store, { { "q" }, 5, "" }, start).has_value());
    onFetchFailed(store, { { "p" }, 5, "" });
    STRCMP_EQUAL("q", nextFetch(store, start)->peer.value.c_str());
    CHECK_FALSE(nextFetch(store, start + 1s).has_value());
    STRCMP_EQUAL("p", nextFetch(store, start + 2s)->peer.value.c_str());
}

// Guards against a body that takes longer than the time for a fetch, and is asked for from its
// start again each time, so that it never arrives.
TEST(take_in, fetchGoesOnWhilePartsArrive)
{
    config_store store;
    CHECK_TRUE(addFetchSource(store, { { "p" }, 5, "" }, start).has_value());
    for (const auto at : { 1s, 2s, 3s, 4s }) {
        onFetchProgress(store, { "p" }, start + at);
        CHECK_FALSE(nextFetch(store, start + at + 1s).has_value());
    }
    onFetchProgress(store, { "other" }, start + 5s);
    CHECK_TRUE(nextFetch(store, start + 6s).has_value());
}
