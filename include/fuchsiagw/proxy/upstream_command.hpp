/// @file
/// @brief Command from the proxy to a member, before the wire codec encodes it.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/proxy/caller_statement.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiagw::proxy {

enum class command_kind : std::uint8_t {
    Startup, ///< name: service, argument: workspace, id: expected member
    Forward, ///< a caller's statement; only the name of a prepared statement is replaced
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,
    Prepare,
    Discard, ///< resets values and prepared statements
    Status,
    PauseReceiving, ///< uses `term`
    ResumeReceiving,
    StepDown, ///< uses `term`
};

struct upstream_command
{
    command_kind kind = command_kind::Forward;
    std::string id;
    std::string text; ///< for Forward
    std::string name;
    std::string argument; ///< for SetValue and executes: with the blank before it
    prepared_shape prepared; ///< for Prepare, and for Forward of an Execute
    bool executes = false; ///< Forward: replaces the caller's prepared name by `name`
    std::optional<core::log_position> after; ///< member refuses if its log lacks it
    core::term_number term = 0;
};

} // namespace fuchsiagw::proxy
