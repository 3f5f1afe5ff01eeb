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

/// What may be wrong with a member. `value` is in milliseconds for Slow, Lag and Late; for Cross
/// and LoseAnswer it is the number of answers concerned, and a missing value means all.
enum class member_fault : std::uint8_t {
    Stop, ///< closes its connections and refuses new ones; its log survives
    Isolate, ///< no replication to or from it; callers still reach it
    IsolateCallers, ///< requests and answers are delivered only after the fault is over
    Silent, ///< connections open now are silent for good; new ones work
    Slow, ///< each statement takes longer
    Lag, ///< replaces the replication lag
    Cross, ///< swaps the answers of two connections
    Late, ///< answers are sent later
    LoseAnswer, ///< statements run and are never answered; the connection stays open
    Leaving, ///< says so in its status
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

/// What may be wrong with the platform. `value` is in milliseconds for Slow and ListLag; for
/// LoseAnswer it is the number of answers concerned, and a missing value means all.
enum class platform_fault : std::uint8_t {
    Down, ///< refuses connections
    Slow, ///< half of the delay passes before a request takes effect, half after
    LoseAnswer, ///< writes are applied and never answered
    ListLag, ///< changes of the instance list show later
    Leaving, ///< sets the state of one instance
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

/// One statement that a member ran, or answered with the first answer to its key, or refused.
struct executed_statement
{
    std::uint64_t number = 0; ///< 1 for the first, without gaps
    core::member_id member;
    connection_number connection = 0;
    core::request_id id;
    core::workspace_id workspace;
    core::term_number term = 0; ///< as sent
    core::statement_kind kind = core::statement_kind::Read;
    std::string statement;
    std::vector<std::string> parameters;
    std::string idempotencyKey;
    core::execute_status status = core::execute_status::Ok;
    bool hasRun = false; ///< false for a refusal and for a repeat
    core::log_position position; ///< as answered
    core::log_position applied; ///< as answered
    std::vector<std::vector<std::string>> headers; ///< name and value of each, as received
};

/// Answer to `GET /history?after=N`.
struct statement_history
{
    std::vector<executed_statement> statements; ///< with numbers above N that are still kept
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
    std::uint64_t received = 0; ///< statements, also those that wait or are refused
    std::uint64_t executed = 0; ///< statements that ran
    std::uint64_t connections = 0; ///< data connections open now
    std::uint64_t peakConnections = 0;
    std::uint64_t refusedConnections = 0; ///< statements refused for want of a connection
};

/// Answer to `GET /counters` of the platform stand-in.
struct platform_counters
{
    std::uint64_t reads = 0; ///< of rows, scans, objects and the list
    std::uint64_t writes = 0; ///< transactions and objects, also if they had no effect
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

/// @return the response to a request that @p error refuses, with the error's name as its problem
[[nodiscard]] net::http_response errorResponse(const std::error_code &error);

} // namespace fuchsiagw::testing
