/// @file
/// @brief What the proxy sends to a member, before the wire codec encodes it.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/proxy/caller_statement.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiagw::proxy {

enum class command_kind : std::uint8_t {
    Startup, ///< name: service, argument: workspace, id: expected member
    Forward, ///< a caller's statement; text unchanged but for the prepared statement's name
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,
    Prepare,
    Discard, ///< drops values and prepared statements
    Status,
    PauseReceiving, ///< term
    ResumeReceiving,
    StepDown, ///< term
};

struct upstream_command
{
    command_kind kind = command_kind::Forward;
    std::string id;
    std::string text; ///< for Forward
    std::string name;
    std::string argument;
    prepared_shape prepared; ///< for Prepare, and for Forward of an execute
    bool executes = false; ///< Forward: `name` replaces the caller's name of the prepared statement
    std::optional<core::log_position> after; ///< the member refuses if its log lacks it
    core::term_number term = 0;
};

} // namespace fuchsiagw::proxy
