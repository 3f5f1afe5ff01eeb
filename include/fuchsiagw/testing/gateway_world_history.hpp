/// @file
/// @brief History of a gateway simulation run and the checkers of requirements M1 to M13.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/member_protocol.hpp>
#include <fuchsiagw/core/statement.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/testing/connection_number.hpp>
#include <fuchsiagw/testing/member_model.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fuchsiagw::testing {

/// Requirements of section 1.1 of the design; each checker in gateway_world_checks.cpp describes
/// its own.
enum class requirement : std::uint8_t { M1, M2, M3, M4, M5, M6, M7, M8, M9, M10, M11, M12, M13 };

inline constexpr std::array<std::string_view, 13> requirementNames{ "M1",  "M2",  "M3", "M4", "M5",
                                                                    "M6",  "M7",  "M8", "M9", "M10",
                                                                    "M11", "M12", "M13" };

[[nodiscard]] constexpr std::string_view toString(requirement which)
{
    return requirementNames.at(static_cast<std::size_t>(which));
}

/// One request of a caller. The second parameter of its statement is `item`.
struct caller_operation
{
    std::uint64_t number = 0; ///< also the ticket at the gateway
    std::uint64_t item = 0; ///< number of the first attempt; the value that a write appends
    std::size_t session = 0;
    std::uint64_t transactionNumber = 0; ///< the caller's transaction; 0: none
    core::key_hash key;
    core::workspace_id workspace; ///< of the key
    core::statement_request request;
    std::size_t gateway = 0;
    std::size_t requiredItemCount =
            0; ///< number of the session's acknowledged items when the request was sent
    core::time_point arrivedAt = core::noDeadline;
    core::time_point answeredAt = core::noDeadline;
    std::optional<core::statement_answer> answer;
    unsigned replies = 0;
    bool isOwnData = true; ///< reads or writes the data of its own session
    bool wasReceived = false; ///< the answer reached the caller
    bool isAnswerOptional =
            false; ///< the gateway was killed before it answered, so no answer is required
};

/// A statement that a member received, or the end of a connection.
struct member_event
{
    core::time_point at;
    core::member_id member;
    connection_number connection = 0;
    core::execute_request request; ///< as received
    core::execute_status status = core::execute_status::Ok;
    std::uint64_t item = 0;
    bool hasRun = false;
    bool isClose = false;
    bool wasSentWhileLeaving =
            false; ///< sent more than leavingGrace after the member was listed as leaving
};

struct granted_statement
{
    core::time_point at;
    core::workspace_id workspace;
};

struct version_record
{
    std::size_t gateway = 0;
    std::uint64_t generation = 0;
    core::configuration_version version = 0;
};

/// Invariant: the vectors are in chronological order.
struct gateway_history
{
    std::vector<caller_operation> operations; ///< number N is at index N - 1
    std::vector<member_event> members;
    std::vector<granted_statement> granted;
    std::vector<version_record> versions; ///< one entry for each version change at a gateway
    std::map<std::pair<std::size_t, core::group_id>, std::vector<std::uint64_t>> acknowledged;
    std::map<core::key_hash, core::time_point> withdrawn;
    std::vector<std::pair<core::key_hash, core::workspace_id>> keys;
    core::configuration config; ///< newest
    core::duration proofLifetime{};
    std::vector<std::pair<std::size_t, core::configuration_version>> lastVersions;
    std::map<core::group_id, std::map<core::workspace_id, workspace_data>> finalData;
    std::vector<core::group_id> withoutPrimary; ///< at the end of the run
};

struct world_finding
{
    requirement which = requirement::M1;
    std::string text;
};

/// @return the numbers in a stored value, in which a comma follows each number
[[nodiscard]] std::vector<std::uint64_t> itemsOf(std::string_view value);

/// @brief Runs all checkers.
/// @complexity O(n log n) in the size of the history
[[nodiscard]] std::vector<world_finding> checkHistory(const gateway_history &history);

} // namespace fuchsiagw::testing
