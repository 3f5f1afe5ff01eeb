/// @file
/// @brief The rows of the share pool as values of the platform's table.
///
/// A value is a list of lines in a fixed order that starts with the format and its version. Parsing
/// is strict: a row that was not written by toValue() is reported and never guessed.

#pragma once

#include <fuchsiagw/core/platform_protocol.hpp>
#include <fuchsiagw/core/share_pool.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

/// Prefix of the keys of all pool rows.
inline constexpr std::string_view poolPrefix = "pool/";

/// Prefix of the keys of all lease rows.
inline constexpr std::string_view leasePrefix = "lease/";

/// Bounds of a lease row; a row has at most 3 witnesses and one home per limit.
inline constexpr std::size_t maxRowWitnesses = 16;
inline constexpr std::size_t maxRowHomes = 100'000;

/// Bound on the length of the instance's name and of a transaction's id in a row.
inline constexpr std::size_t maxRowText = 255;

/// @brief Writes a row as a table value.
/// @return nothing if a name can't be written, which the configuration and the settings rule out
/// @complexity linear in the row
[[nodiscard]] std::optional<std::string> toValue(const share_row &row);

/// @brief Parses what toValue() wrote.
/// @param key of the row; it must agree with the content
/// @return nothing if the value is damaged or of an unknown version
/// @complexity linear in the value
[[nodiscard]] std::optional<share_row> parseShareRow(std::string_view key, std::string_view value);

/// @brief Writes a transaction as the platform expects it.
/// @return nothing if a row can't be written
/// @complexity linear in the rows
[[nodiscard]] std::optional<transact_request> toRequest(const table_transaction &transaction);

/// @brief Adds the rows of a scan to a view. Rows of other kinds are left out.
/// @return the keys of damaged rows
/// @complexity linear in the rows
std::vector<std::string> addRows(table_view &view, const scan_answer &answer);

} // namespace fuchsiagw::core
