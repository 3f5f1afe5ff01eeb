/// @file
/// @brief JSON form of the protocol to a member of a database group.
///
/// Every body is one JSON object with exactly the fields of its struct. On an error, fromJson()
/// leaves its result unchanged and returns MalformedBody, WrongType, UnknownField, MissingField or
/// InvalidValue. No function throws.

#pragma once

#include <fuchsiagw/core/member_protocol.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <system_error>

namespace fuchsiagw::wire {

/// Body of `POST /accept_term` and of `POST /lead`.
struct term_request
{
    core::term_number term = 0;

    friend bool operator==(const term_request &, const term_request &) = default;
};

/// Body of `POST /follow`.
struct follow_request
{
    core::term_number term = 0;
    core::member_id primary;

    friend bool operator==(const follow_request &, const follow_request &) = default;
};

/// Query of `GET /wait`.
struct wait_request
{
    /// The member answers when its log reaches `index` while `term` is the term it has accepted.
    core::log_position until;
    std::chrono::milliseconds wait{ 0 };

    friend bool operator==(const wait_request &, const wait_request &) = default;
};

[[nodiscard]] std::string toJson(const core::execute_request &request);
[[nodiscard]] std::string toJson(const core::execute_answer &answer);

/// @brief Answer to `GET /status` and `GET /wait`, and to `POST /lead` and `POST /follow`, whose
/// success is visible in the role and the term.
[[nodiscard]] std::string toJson(const core::member_status &status);
[[nodiscard]] std::string toJson(const core::accept_term_answer &answer);
[[nodiscard]] std::string toJson(const term_request &request);
[[nodiscard]] std::string toJson(const follow_request &request);

[[nodiscard]] std::error_code fromJson(std::string_view text, core::execute_request &request);
[[nodiscard]] std::error_code fromJson(std::string_view text, core::execute_answer &answer);
[[nodiscard]] std::error_code fromJson(std::string_view text, core::member_status &status);
[[nodiscard]] std::error_code fromJson(std::string_view text, core::accept_term_answer &answer);
[[nodiscard]] std::error_code fromJson(std::string_view text, term_request &request);
[[nodiscard]] std::error_code fromJson(std::string_view text, follow_request &request);

/// @return the request target `/wait?term=T&index=I&wait_ms=W`
[[nodiscard]] std::string toTarget(const wait_request &request);

/// @brief Parses what toTarget() wrote; the three parameters may come in any order.
/// @param request unchanged on error
/// @return UnknownRoute for another path, UnknownField, MissingField or InvalidValue for parameters
[[nodiscard]] std::error_code fromTarget(std::string_view target, wait_request &request);

} // namespace fuchsiagw::wire
