/// @file
/// @brief The operators' commands.

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

/// What a command needs from its surroundings.
struct command_context
{
    admin_transport transport;
    std::function<std::string()> secretHash; ///< of the operators' secret, for signing
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
    std::size_t fewest; ///< parameters
    std::size_t most;
    std::string summary;
    std::string example;
    exit_code (*run)(const command_context &context, const std::vector<std::string> &parameters);
};

/// @return every command, in the order of the help
[[nodiscard]] const std::vector<command> &allCommands();

/// @brief Parses a command line and runs its command.
/// @param arguments without the program's name
[[nodiscard]] exit_code runCommandLine(const std::vector<std::string> &arguments,
                                       const command_context &context);

// The commands of each subject.
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
/// @brief Removes the row of a daemon whose machine is gone for good from the platform's store, so
/// that the others take over its part of the limits.
exit_code runInstanceForget(const command_context &context,
                            const std::vector<std::string> &parameters);
exit_code runInstanceList(const command_context &context,
                          const std::vector<std::string> &parameters);
exit_code runSwitchList(const command_context &context, const std::vector<std::string> &parameters);
exit_code runSwitchOn(const command_context &context, const std::vector<std::string> &parameters);
exit_code runSwitchOff(const command_context &context, const std::vector<std::string> &parameters);
exit_code runVouch(const command_context &context, const std::vector<std::string> &parameters);
exit_code runStatus(const command_context &context, const std::vector<std::string> &parameters);

// Shared by the commands.

/// @brief Prints a problem and returns its code.
exit_code report(const command_context &context, const admin_result &result);
/// @brief Prints why the command line is wrong; @return Usage
exit_code refuseUsage(const command_context &context, const std::string &problem);
/// @brief Submits a note until its outcome is known or the time is over, and waits if asked to.
exit_code submitNote(const command_context &context, const core::release_note &note);
/// @brief Submits a note on the newest version that makes exactly @p list.
exit_code submitChanges(const command_context &context, core::configuration_version base,
                        const core::section_changes &list);

} // namespace fuchsiagw::ctl
