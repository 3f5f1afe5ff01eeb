/// @file
/// @brief Release note commands and the submission shared by all changes.

#include <fuchsiagw/ctl/commands.hpp>
#include <fuchsiagw/ctl/flags.hpp>
#include <fuchsiagw/ctl/note_file.hpp>
#include <fuchsiagw/ctl/table.hpp>
#include <fuchsiagw/wire/note_json.hpp>

#include <absl/flags/flag.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <sodium.h>

namespace fuchsiagw::ctl {

namespace {

constexpr std::chrono::milliseconds retryDelay{ 500 };

std::string address()
{
    return absl::GetFlag(FLAGS_address);
}

bool hasTimeLeft(const command_context &context)
{
    return context.elapsed() < std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
}

exit_code readNoteFile(const command_context &context, const std::string &path,
                       core::release_note &note)
{
    std::string text;
    std::string problem = readFile(path, text);
    if (problem.empty())
        problem = parseNote(text, note);
    if (problem.empty())
        return exit_code::Done;
    context.err << path << ": " << problem
                << "\nnext: docs/release-notes.md shows the form of a note\n";
    return exit_code::Usage;
}

void printNote(const command_context &context, const admin_result &result)
{
    if (absl::GetFlag(FLAGS_json)) {
        context.out << result.text << '\n';
        return;
    }
    const nlohmann::json &json = result.json;
    context.out << "note " << json.value("note", "");
    if (!json.value("applied", false)) {
        context.out << " was not applied\n";
        return;
    }
    context.out << " made version " << json.value("version", 0)
                << (json.value("applied_before", false) ? " (applied before)" : "");
    if (json.contains("in_force_everywhere"))
        context.out << (json.value("in_force_everywhere", false) ? ", in force everywhere"
                                                                 : ", not yet in force everywhere");
    context.out << '\n';
}

admin_result fetchNoteStatus(const command_context &context, const std::string &id)
{
    return callAdmin(context.transport, address(), "GET", "/v1/admin/notes/" + id, {}, false);
}

/// Polls until an applied note is in force everywhere or --timeout_ms has elapsed.
exit_code waitForNote(const command_context &context, const std::string &id)
{
    for (;;) {
        const admin_result result = fetchNoteStatus(context, id);
        if (result.code == exit_code::Done) {
            if (result.json.value("in_force_everywhere", false)
                || !result.json.value("applied", false)) {
                printNote(context, result);
                return result.json.value("applied", false) ? exit_code::Done : exit_code::Refused;
            }
        } else if (result.code == exit_code::Refused && result.error == "operator_denied") {
            return report(context, result);
        }
        if (!hasTimeLeft(context)) {
            context.err << "note " << id << " is not known to be in force everywhere in time"
                        << "\nnext: 'fuchsiagwctl status' of each zone shows who lags\n";
            return exit_code::Unknown;
        }
        context.sleep(retryDelay);
    }
}

void printChanges(const command_context &context, const core::configuration &base,
                  const core::section_changes &list)
{
    const auto sections = core::sectionsOf(base);
    const auto valueBefore = [&sections](const core::section &where) {
        const auto entry = sections.find(where);
        return entry == sections.end() ? std::string("-") : toString(entry->second);
    };
    text_table table{ { "", "SECTION", "BEFORE", "AFTER" } };
    for (const auto &[where, value] : list.added)
        table.push_back({ "+", toString(where), "-", toString(value) });
    for (const auto &[where, value] : list.changed)
        table.push_back({ "~", toString(where), valueBefore(where), toString(value) });
    for (const core::section &where : list.withdrawn)
        table.push_back({ "-", toString(where), valueBefore(where), "-" });
    printTable(context.out, table);
}

std::string newNoteId()
{
    std::string given = absl::GetFlag(FLAGS_note);
    if (!given.empty())
        return given;
    return absl::FormatTime("%Y%m%dT%H%M%SZ-", absl::Now(), absl::UTCTimeZone())
           + std::to_string(randombytes_uniform(1000000));
}

} // namespace

exit_code report(const command_context &context, const admin_result &result)
{
    if (absl::GetFlag(FLAGS_json) && !result.text.empty())
        context.out << result.text << '\n';
    context.err << result.problem << '\n';
    return result.code;
}

exit_code reportUsageError(const command_context &context, const std::string &problem)
{
    context.err << problem << "\nnext: 'fuchsiagwctl --help' lists the commands and flags\n";
    return exit_code::Usage;
}

exit_code submitNote(const command_context &context, const core::release_note &note)
{
    const std::string body = wire::writeNote(note);
    bool mayBeApplied = false;
    for (;;) {
        admin_result result =
                callAdmin(context.transport, address(), "POST", "/v1/admin/notes", body, true);
        if (result.code == exit_code::Done) {
            if (absl::GetFlag(FLAGS_wait))
                return waitForNote(context, note.id);
            printNote(context, result);
            return exit_code::Done;
        }
        // After an unknown outcome only a rejection of the note itself proves that no earlier
        // attempt applied it.
        const bool isNoteRejected =
                result.error.starts_with("note_") && result.code == exit_code::Refused;
        mayBeApplied = mayBeApplied || result.code == exit_code::Unknown;
        if (mayBeApplied && !isNoteRejected)
            result.code = exit_code::Unknown;
        // Retrying is safe because the note is idempotent: its id is applied once.
        if (result.code != exit_code::Unknown || !hasTimeLeft(context)) {
            const exit_code code = report(context, result);
            if (code == exit_code::Unknown)
                context.err << "next: 'fuchsiagwctl note status " << note.id
                            << "' tells whether it was applied\n";
            return code;
        }
        context.sleep(retryDelay);
    }
}

exit_code submitChanges(const command_context &context, core::configuration_version base,
                        const core::section_changes &list)
{
    return submitNote(context, { newNoteId(), base, list });
}

exit_code runNoteCheck(const command_context &context, const std::vector<std::string> &parameters)
{
    core::release_note note;
    if (const exit_code code = readNoteFile(context, parameters[0], note); code != exit_code::Done)
        return code;
    const admin_result result = callAdmin(context.transport, address(), "POST",
                                          "/v1/admin/notes/check", wire::writeNote(note), false);
    if (result.code != exit_code::Done)
        return report(context, result);
    if (absl::GetFlag(FLAGS_json))
        context.out << result.text << '\n';
    else
        context.out << "note " << note.id << " is valid and makes version "
                    << result.json.value("version", 0) << '\n';
    return exit_code::Done;
}

exit_code runNoteDiff(const command_context &context, const std::vector<std::string> &parameters)
{
    core::release_note note;
    if (const exit_code code = readNoteFile(context, parameters[0], note); code != exit_code::Done)
        return code;
    core::configuration newest;
    const admin_result result = fetchConfiguration(context.transport, address(), newest);
    if (result.code != exit_code::Done)
        return report(context, result);
    note.base = newest.version; // the diff is against the newest version, not the note's base
    core::configuration next;
    core::note_problem problem;
    const std::error_code error = core::applyNote(newest, note, next, problem);
    const bool isExact = !error;
    if (error && core::kindOf(error) != core::error_kind::NoteNotExact) {
        context.err << problem.text << '\n';
        return exit_code::Refused;
    }
    const core::section_changes &changes = isExact ? note.changes : problem.actual;
    if (absl::GetFlag(FLAGS_json))
        context.out << wire::writeChanges(changes) << '\n';
    else
        printChanges(context, newest, changes);
    if (!isExact)
        context.err << "the list is not exact: " << problem.text << '\n';
    return isExact ? exit_code::Done : exit_code::Refused;
}

exit_code runNoteSubmit(const command_context &context, const std::vector<std::string> &parameters)
{
    core::release_note note;
    if (const exit_code code = readNoteFile(context, parameters[0], note); code != exit_code::Done)
        return code;
    return submitNote(context, note);
}

exit_code runNoteStatus(const command_context &context, const std::vector<std::string> &parameters)
{
    if (!core::isName(parameters[0]))
        return reportUsageError(context, "'" + parameters[0] + "' is not the id of a note");
    if (absl::GetFlag(FLAGS_wait))
        return waitForNote(context, parameters[0]);
    const admin_result result = fetchNoteStatus(context, parameters[0]);
    if (result.code != exit_code::Done)
        return report(context, result);
    printNote(context, result);
    return result.json.value("applied", false) ? exit_code::Done : exit_code::Refused;
}

} // namespace fuchsiagw::ctl
