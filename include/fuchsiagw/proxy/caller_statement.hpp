/// @file
/// @brief One statement of a caller's session, as the wire codec decoded it.

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

/// What a prepared statement does; two with the same shape are interchangeable.
struct prepared_shape
{
    bool writes = false;
    std::string shape;

    friend auto operator<=>(const prepared_shape &, const prepared_shape &) = default;
};

struct caller_statement
{
    std::string id; ///< chosen by the caller; goes to the member unchanged
    statement_kind kind = statement_kind::Malformed;
    std::string text; ///< exactly as it came; reads, writes and commits are forwarded with it
    std::string name; ///< of the value or prepared statement, if the kind has one
    std::string argument; ///< rest of the text behind the name
    prepared_shape prepared; ///< for Prepare
};

} // namespace fuchsiagw::proxy
