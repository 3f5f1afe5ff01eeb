/// @file
/// @brief JSON bodies and header values that callers exchange with the proxy.
///
/// The fields, units and bounds are listed in docs/api.md.

#pragma once

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/statement.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace fuchsiagw::wire {

inline constexpr std::size_t maxBodyBytes = 1'048'576;
inline constexpr std::size_t maxStatementBytes = 262'144;
inline constexpr std::size_t maxParameters = 64;
/// Bound on the sum of all parameters. A statement and its parameters must fit into one frame
/// between daemons.
inline constexpr std::size_t maxParameterBytes = 524'288;
inline constexpr std::size_t maxIdempotencyKeyBytes = 128;
inline constexpr std::size_t maxKeyBytes = 256; ///< of a workspace's key
inline constexpr std::chrono::milliseconds minTimeLimit{ 1 };
inline constexpr std::chrono::milliseconds maxTimeLimit{ 60'000 };
/// Exceeds the bound on a failover (5 s), so that a write that waits for one does not time out.
inline constexpr std::chrono::milliseconds defaultTimeLimit{ 10'000 };

/// Parsed body of a request. Fields that a route does not accept keep their defaults.
struct parsed_statement
{
    core::group_id group;
    core::statement_kind kind = core::statement_kind::Read;
    std::string text;
    std::vector<std::string> parameters;
    std::string readClass;
    std::string idempotencyKey;
    std::chrono::milliseconds timeLimit = defaultTimeLimit; ///< the body's `deadline_ms`
};

/// @brief Parses the body of `POST /v1/statements`.
/// @param[out] parsed the fields; unchanged on an error
/// @param[out] problem on an error, the field and what to change in it
/// @return MalformedBody, BodyTooLarge, WrongType, UnknownField, MissingField or InvalidValue
/// @complexity linear in the size of the body
[[nodiscard]] std::error_code parseStatement(std::string_view body, parsed_statement &parsed,
                                             std::string &problem);

/// @brief Parses the body of `POST /v1/transactions`; see parseStatement().
[[nodiscard]] std::error_code parseBegin(std::string_view body, parsed_statement &parsed,
                                         std::string &problem);

/// @brief Parses the body of `POST /v1/transactions/{id}/statements`; see parseStatement().
[[nodiscard]] std::error_code
parseTransactionStatement(std::string_view body, parsed_statement &parsed, std::string &problem);

/// @brief Parses the body of `POST /v1/transactions/{id}/commit`, which may be empty; see
/// parseStatement().
[[nodiscard]] std::error_code parseCommit(std::string_view body, parsed_statement &parsed,
                                          std::string &problem);

/// @brief Parses the body of `POST /v1/transactions/{id}/rollback`, which may be empty; see
/// parseStatement().
[[nodiscard]] std::error_code parseRollback(std::string_view body, parsed_statement &parsed,
                                            std::string &problem);

/// @brief Converts a parsed body to the request that is admitted and routed.
/// @param workspace workspace of the caller's key
/// @param now when the body arrived
[[nodiscard]] core::statement_request toRequest(parsed_statement parsed, core::request_id id,
                                                core::workspace_id workspace, core::time_point now);

/// @brief Writes the body of a successful answer.
[[nodiscard]] std::string answerBody(const core::statement_answer &answer);

/// @brief Writes the body of an error answer.
/// @param problem what to change; if empty, the general sentence of the error kind is sent
[[nodiscard]] std::string errorBody(core::error_kind kind, std::string_view problem,
                                    const core::request_id &id);

/// @return the id as two groups of 16 hexadecimal digits, owner first
[[nodiscard]] std::string toText(const core::transaction_id &id);

/// @brief Parses what toText() wrote.
/// @return nullopt if @p text is anything else
[[nodiscard]] std::optional<core::transaction_id> transactionFromText(std::string_view text);

/// @brief Extracts the key from the value of the header `Authorization`.
/// @return nullopt unless the scheme is Bearer and the key has 1 to maxKeyBytes token68 characters
[[nodiscard]] std::optional<std::string> keyFromAuthorization(std::string_view value);

/// Session token of a request. Invariant: `token` is empty unless `isPresent` is set.
struct requested_session
{
    bool isPresent = false; ///< the request has a session header or cookie
    std::string token; ///< empty too if the sent token is malformed or ambiguous
};

/// @brief Finds the session token of a request; the header takes precedence over the cookie.
/// @param header value of `Fuchsiagw-Session`, nullopt if the header is missing
/// @param cookies value of `Cookie`, empty if missing; session cookies with different values are
/// ambiguous, and no token is returned
[[nodiscard]] requested_session sessionFromHeaders(std::optional<std::string_view> header,
                                                   std::string_view cookies);

/// @return value of `Set-Cookie` that stores @p token at the caller
[[nodiscard]] std::string sessionCookie(std::string_view token);

} // namespace fuchsiagw::wire
