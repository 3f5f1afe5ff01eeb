/// @file
/// @brief Commands of fuchsiagwctl.

#pragma once

#include <fuchsiagw/core/release_note.hpp>
#include <fuchsiagw/ctl/admin_client.hpp>
#include <fuchsiagw/ctl/exit_code.hpp>
#include <fuchsiagw/ctl/store_call.hpp>

#include <chrono>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace fuchsiagw::ctl {

/// External dependencies of a command; replaced in tests.
struct command_context
{
    admin_transport transport;
    std::function<std::string()> secretHash; ///< of the operators' secret, used to sign
    std::ostream &out;
    std::ostream &err;
    std::function<void(std::chrono::milliseconds)> sleep;
    std::function<std::chrono::milliseconds()> elapsed; ///< since the start of the command
    store_transport store = {}; ///< the platform's store; used with --store only
};

struct command
{
    std::string words; ///< such as "note check"
    std::string parameters; ///< such as "FILE"
    std::size_t minParameters;
    std::size_t maxParameters;
    std::string summary;
    std::string example;
    exit_code (*run)(const command_context &context, const std::vector<std::string> &parameters);
};

/// @return all commands, in the order of the help text
[[nodiscard]] const std::vector<command> &allCommands();

/// @brief Parses a command line and runs its command.
/// @param arguments without the program name
[[nodiscard]] exit_code runCommandLine(const std::vector<std::string> &arguments,
                                       const command_context &context);

// Implementations of the commands.
exit_code runNoteCheck(const command_context &context, const std::vector<std::string> &parameters);
exit_code runNoteDiff(const command_context &context, const std::vector<std::string> &parameters);
exit_code runNoteSubmit(const command_context &context, const std::vector<std::string> &parameters);
exit_code runNoteStatus(const command_context &context, const std::vector<std::string> &parameters);
exit_code runWorkspaceList(const command_context &context,
                           const std::vector<std::string> &parameters);
exit_code runWorkspaceCreate(const command_context &context,
                             const std::vector<std::string> &parameters);
exit_code runWorkspaceRate(const command_context &context,
                           const std::vector<std::string> &parameters);
exit_code runKeyIssue(const command_context &context, const std::vector<std::string> &parameters);
exit_code runKeyWithdraw(const command_context &context,
                         const std::vector<std::string> &parameters);
exit_code runKeyList(const command_context &context, const std::vector<std::string> &parameters);
exit_code runReadClassSet(const command_context &context,
                          const std::vector<std::string> &parameters);
exit_code runGroupList(const command_context &context, const std::vector<std::string> &parameters);
exit_code runGroupShow(const command_context &context, const std::vector<std::string> &parameters);
exit_code runGroupPromote(const command_context &context,
                          const std::vector<std::string> &parameters);
/// @brief Deletes the row of a permanently lost instance from the platform's store, so that the
/// other instances take over its share of the limits.
exit_code runInstanceForget(const command_context &context,
                            const std::vector<std::string> &parameters);
exit_code runInstanceList(const command_context &context,
                          const std::vector<std::string> &parameters);
exit_code runSwitchList(const command_context &context, const std::vector<std::string> &parameters);
exit_code runSwitchOn(const command_context &context, const std::vector<std::string> &parameters);
exit_code runSwitchOff(const command_context &context, const std::vector<std::string> &parameters);
/// @brief Reads log files; needs no running daemon.
exit_code runReport(const command_context &context, const std::vector<std::string> &parameters);
exit_code runVouch(const command_context &context, const std::vector<std::string> &parameters);
exit_code runStatus(const command_context &context, const std::vector<std::string> &parameters);

// Helpers of the commands.

/// @brief Prints the error of a failed request.
/// @return its exit code
exit_code report(const command_context &context, const admin_result &result);
/// @brief Prints why the command line is invalid.
/// @return Usage
exit_code reportUsageError(const command_context &context, const std::string &problem);
/// @brief Submits a note, retries until its outcome is known or --timeout_ms has elapsed, and with
/// --wait waits until the note is in force everywhere.
exit_code submitNote(const command_context &context, const core::release_note &note);
/// @brief Submits a note with the changes @p list against version @p base.
exit_code submitChanges(const command_context &context, core::configuration_version base,
                        const core::section_changes &list);

} // namespace fuchsiagw::ctl
