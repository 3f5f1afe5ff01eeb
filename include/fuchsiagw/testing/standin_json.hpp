/// @file
/// @brief Requests to and answers from the fault ports of the stand-ins.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/member_protocol.hpp>
#include <fuchsiagw/net/http_message.hpp>
#include <fuchsiagw/testing/connection_number.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace fuchsiagw::testing {

/// Faults of a member. `value` is in milliseconds for Slow, Lag and Late; for Cross and LoseAnswer
/// it is the number of affected answers, and a missing value means all.
enum class member_fault : std::uint8_t {
    Stop, ///< closes all connections and refuses new ones; the log survives
    Isolate, ///< no replication to or from the member; callers still reach it
    IsolateCallers, ///< requests and answers are delivered only after the fault ends
    Silent, ///< open connections never answer again; new ones work
    Slow, ///< adds to the execution time of each statement
    Lag, ///< replaces the replication lag
    Cross, ///< swaps the answers of two connections
    Late, ///< delays answers after the execution
    LoseAnswer, ///< statements are executed but never answered; connections stay open
    Leaving, ///< the member reports in its status that it is leaving
};

inline constexpr std::array<std::string_view, 10> memberFaultNames{
    "stop",  "isolate", "isolate_callers", "silent", "slow", "lag",
    "cross", "late",    "lose_answer",     "leaving"
};

/// Body of `POST /fault` of the upstream stand-in.
struct member_fault_request
{
    core::member_id member;
    member_fault kind = member_fault::Stop;
    bool on = false;
    std::optional<std::uint64_t> value;
};

/// Faults of the platform. `value` is in milliseconds for Slow and ListLag; for LoseAnswer it is
/// the number of affected answers, and a missing value means all.
enum class platform_fault : std::uint8_t {
    Down, ///< refuses connections
    Slow, ///< half of the delay precedes the effect of a request, half follows it
    LoseAnswer, ///< writes are applied but never answered
    ListLag, ///< delays changes of the instance list
    Leaving, ///< sets or clears the leaving state of one instance
};

inline constexpr std::array<std::string_view, 5> platformFaultNames{ "down", "slow", "lose_answer",
                                                                     "list_lag", "leaving" };

/// Body of `POST /fault` of the platform stand-in.
struct platform_fault_request
{
    platform_fault kind = platform_fault::Down;
    bool on = false;
    std::optional<std::uint64_t> value;
    std::optional<core::instance_id> instance; ///< for Leaving only
};

/// A statement that a member executed, refused, or answered with the stored answer to its
/// idempotency key.
struct executed_statement
{
    std::uint64_t number = 0; ///< consecutive, from 1
    core::member_id member;
    connection_number connection = 0;
    core::request_id id;
    core::workspace_id workspace;
    core::term_number term = 0; ///< term that the caller sent
    core::statement_kind kind = core::statement_kind::Read;
    std::string statement;
    std::vector<std::string> parameters;
    std::string idempotencyKey;
    core::execute_status status = core::execute_status::Ok;
    bool hasRun = false; ///< false for a refusal and for a repeated idempotency key
    core::log_position position; ///< position in the answer
    core::log_position applied; ///< applied position in the answer
    std::vector<std::vector<std::string>> headers; ///< name and value of each
};

/// Answer to `GET /history?after=N`.
struct statement_history
{
    std::vector<executed_statement> statements; ///< retained statements with numbers above N
    std::uint64_t newest = 0; ///< number of the newest statement
};

/// One member in the answer to `GET /members`.
struct member_description
{
    core::zone_name zone;
    std::string address;
    core::member_status status;
};

/// Answer to `GET /members`.
struct group_description
{
    std::vector<member_description> members;
};

/// Answer to `GET /counters` of the upstream stand-in.
struct group_counters
{
    std::uint64_t received = 0; ///< statements, including queued and refused ones
    std::uint64_t executed = 0; ///< statements that were executed
    std::uint64_t connections = 0; ///< open data connections
    std::uint64_t peakConnections = 0;
    std::uint64_t refusedConnections = 0; ///< statements refused because of the connection limit
};

/// Answer to `GET /counters` of the platform stand-in.
struct platform_counters
{
    std::uint64_t reads = 0; ///< reads of rows, scans, objects and the instance list
    std::uint64_t writes = 0; ///< transactions and writes of objects, also without effect
};

[[nodiscard]] std::string toJson(const member_fault_request &request);
[[nodiscard]] std::string toJson(const platform_fault_request &request);
[[nodiscard]] std::string toJson(const statement_history &history);
[[nodiscard]] std::string toJson(const group_description &description);
[[nodiscard]] std::string toJson(const group_counters &counters);
[[nodiscard]] std::string toJson(const platform_counters &counters);

[[nodiscard]] std::error_code fromJson(std::string_view text, member_fault_request &request);
[[nodiscard]] std::error_code fromJson(std::string_view text, platform_fault_request &request);
[[nodiscard]] std::error_code fromJson(std::string_view text, statement_history &history);
[[nodiscard]] std::error_code fromJson(std::string_view text, group_description &description);
[[nodiscard]] std::error_code fromJson(std::string_view text, group_counters &counters);
[[nodiscard]] std::error_code fromJson(std::string_view text, platform_counters &counters);

/// @return a response with a JSON body
[[nodiscard]] net::http_response jsonResponse(int status, std::string body);

/// @return the response to a request that failed with @p error; `problem` is the error's name
[[nodiscard]] net::http_response errorResponse(const std::error_code &error);

} // namespace fuchsiagw::testing
