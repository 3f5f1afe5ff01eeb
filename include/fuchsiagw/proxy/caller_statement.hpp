/// @file
/// @brief Statement of a caller's session as decoded by the wire codec.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsiagw::proxy {

enum class statement_kind : std::uint8_t {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Malformed,
};

inline constexpr std::array<std::string_view, 11> statementKindNames{
    "begin", "begin_read_only", "commit",  "rollback",   "read",      "write",
    "set",   "prepare",         "execute", "deallocate", "malformed",
};

[[nodiscard]] constexpr std::string_view toString(statement_kind kind)
{
    return statementKindNames.at(static_cast<std::size_t>(kind));
}

/// Content of a prepared statement; prepared statements with equal shapes are interchangeable.
struct prepared_shape
{
    bool writes = false;
    std::string shape;

    friend auto operator<=>(const prepared_shape &, const prepared_shape &) = default;
};

struct caller_statement
{
    std::string id; ///< chosen by the caller; forwarded unchanged
    statement_kind kind = statement_kind::Malformed;
    std::string text; ///< as received; reads, writes and commits are forwarded verbatim
    std::string name; ///< name of the value or prepared statement, if the kind has one
    std::string argument; ///< text after the name, with the blank that separates them
    prepared_shape prepared; ///< set for Prepare
    /// With a position that the member must have, it is still within the longest message.
    bool leavesRoomForPosition = true;
};

} // namespace fuchsiagw::proxy
