/// @file
/// @brief JSON form and request targets of the protocol to the platform.
///
/// Every body is one JSON object with exactly the fields of its struct. On an error, fromJson()
/// leaves its result unchanged and returns MalformedBody, WrongType, UnknownField, MissingField or
/// InvalidValue. No function throws.

#pragma once

#include <fuchsiagw/core/platform_protocol.hpp>

#include <string>
#include <string_view>
#include <system_error>

namespace fuchsiagw::wire {

[[nodiscard]] std::string toJson(const core::table_row &row);
[[nodiscard]] std::string toJson(const core::scan_answer &answer);
[[nodiscard]] std::string toJson(const core::transact_request &request);
[[nodiscard]] std::string toJson(const core::transact_answer &answer);
[[nodiscard]] std::string toJson(const core::instance_entry &entry);
[[nodiscard]] std::string toJson(const core::instance_list &list);

[[nodiscard]] std::error_code fromJson(std::string_view text, core::table_row &row);
[[nodiscard]] std::error_code fromJson(std::string_view text, core::scan_answer &answer);
[[nodiscard]] std::error_code fromJson(std::string_view text, core::transact_request &request);
[[nodiscard]] std::error_code fromJson(std::string_view text, core::transact_answer &answer);
[[nodiscard]] std::error_code fromJson(std::string_view text, core::instance_entry &entry);
[[nodiscard]] std::error_code fromJson(std::string_view text, core::instance_list &list);

/// @brief Tells whether @p name may be a key or an object name: printable ASCII without spaces, not
/// empty.
/// @complexity linear in the length of @p name
[[nodiscard]] bool isPlatformName(std::string_view name);

/// @brief Makes the target of a table row. This and the following functions percent-encode
/// everything but letters, digits and `-._~/`.
/// @return `/table/{key}`
[[nodiscard]] std::string tableTarget(std::string_view key);

/// @return `/scan?prefix={prefix}`
[[nodiscard]] std::string scanTarget(std::string_view prefix);

/// @return `/object/{name}`
[[nodiscard]] std::string objectTarget(std::string_view name);

/// @return `/instances/{instance}`
[[nodiscard]] std::string instanceTarget(const core::instance_id &instance);

/// @brief Decodes the name after @p prefix in a target that one of the functions above made.
/// @param target request target
/// @param prefix for instance `/table/` or `/scan?prefix=`
/// @param name decoded name; unchanged on error
/// @return UnknownRoute if @p target does not begin with @p prefix, InvalidValue for a malformed
/// percent-encoding or a name that isPlatformName() rejects; the empty prefix of a scan is allowed
[[nodiscard]] std::error_code nameFromTarget(std::string_view target, std::string_view prefix,
                                             std::string &name);

} // namespace fuchsiagw::wire
