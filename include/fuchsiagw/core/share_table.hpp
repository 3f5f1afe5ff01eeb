/// @file
/// @brief Serializes the rows of the share pool as values of the platform's table.
///
/// A value is a list of lines in a fixed order. The first line holds the format and its version.
/// Parsing is strict: a value that toValue() would not write is rejected and reported.

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

/// Bounds that the parser enforces. A valid lease row has at most 3 witnesses and one entry of home
/// shares per limit.
inline constexpr std::size_t maxRowWitnesses = 16;
inline constexpr std::size_t maxRowHomes = 100'000;

/// Limits the length of the instance name and of the transaction id in a row.
inline constexpr std::size_t maxRowTextLength = 255;

/// @brief Serializes a row as a table value.
/// @return std::nullopt if a bound is exceeded, or if a name contains characters that the format
/// does not allow, which configuration and settings prevent
/// @complexity linear in the row
[[nodiscard]] std::optional<std::string> toValue(const share_row &row);

/// @brief Parses a value that toValue() wrote.
/// @param key key of the row; must match the content
/// @return std::nullopt if the value is malformed or has an unknown version
/// @complexity linear in the value
[[nodiscard]] std::optional<share_row> parseShareRow(std::string_view key, std::string_view value);

/// @brief Converts a transaction to a request of the platform's protocol.
/// @return std::nullopt if a row can't be serialized
/// @complexity linear in the rows
[[nodiscard]] std::optional<transact_request> toRequest(const table_transaction &transaction);

/// @brief Adds the pool and lease rows of a scan to a view. Rows with other prefixes are skipped.
/// @return the keys of rows that can't be parsed
/// @complexity linear in the rows
std::vector<std::string> addRows(table_view &view, const scan_answer &answer);

} // namespace fuchsiagw::core
