/// @file
/// @brief Constants and checks of calls to the platform's store, shared by the source files of
/// store_client.

#pragma once

#include <fuchsiagw/daemon/store_client.hpp>

#include <platform/store_codec.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace fuchsiagw::daemon {

inline constexpr std::chrono::milliseconds callTimeout{ 1'500 };
/// The store answers a long poll as soon as a row changes. Keep-alive probes detect dead
/// connections, so the wait can be long.
inline constexpr std::chrono::milliseconds longPollWait{ 28'000 };
/// Time for the response after the wait of a long poll.
inline constexpr std::chrono::milliseconds longPollGrace{ 1'500 };

inline constexpr int statusOk = 200;
inline constexpr int statusConflict = 409;
inline constexpr int statusGone = 410;
inline constexpr int statusConditionFailed = 412;
inline constexpr int statusUnavailable = 503; ///< nothing was done
inline constexpr int statusNoResponse = 0;

/// @return whether a page of rows is the last one or names the key from which the next one is read.
/// That page then begins with the same row: no key that follows it is known to be within the
/// store's limit.
[[nodiscard]] inline bool leadsOn(const adapter::store_rows &page, const std::string &from)
{
    return !page.hasMore || (!page.rows.empty() && page.rows.back().key > from);
}

/// @return the rows of a successful answer; nothing if it has none
[[nodiscard]] inline std::optional<adapter::store_rows> rowsOf(const store_answer &answer)
{
    return answer.status == statusOk ? adapter::decodeRows(answer.body, answer.era) : std::nullopt;
}

/// @brief Checks that a feed was read in the era of the version from which it goes on. In a later
/// era the number names another change, so the history is gone as if the store had said so.
[[nodiscard]] inline store_answer checkedFeed(store_answer answer, core::store_version after)
{
    if (answer.status == statusOk && after != 0 && core::eraOf(after) != answer.era)
        answer.status = statusGone;
    return answer;
}

} // namespace fuchsiagw::daemon
