/// @file
/// @brief Command from the proxy to a member, before the wire codec encodes it.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
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

/// What a relay needs to know of the operation for which a connection is borrowed.
struct borrow_terms
{
    int priority = 0; ///< of the route; 0 is the highest
    core::duration wait{ 0 }; ///< time in which the operation may still start
    bool isExclusive = false; ///< only this member can run it
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
    std::optional<borrow_terms> borrow; ///< for Startup; sent to a relay only
};

} // namespace fuchsiagw::proxy
