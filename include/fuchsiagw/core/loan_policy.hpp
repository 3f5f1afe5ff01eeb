/// @file
/// @brief Admission of statements and the loans of shares between instances: who asks whom for how
/// much and when, and how much a lender gives.
///
/// A statement without a token waits for a short time while its instance asks a few peers. A lender
/// gives at most half of what it can spare, so that it can serve its own next burst.

#pragma once

#include <fuchsiagw/core/demand_estimate.hpp>
#include <fuchsiagw/core/incarnation_lease.hpp>
#include <fuchsiagw/core/loan_message.hpp>
#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/share_ledger.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace fuchsiagw::core {

struct loan_settings
{
    loan_times times;
    /// Covers several round trips between zones; a statement above the rate is delayed by it once.
    duration admissionWait = std::chrono::milliseconds(200);
    duration scanEvery = std::chrono::milliseconds(100);
    duration renewLead = std::chrono::seconds(1); ///< before the end of a loan
    duration renewRetry = std::chrono::milliseconds(300);
    duration firstRetry = std::chrono::milliseconds(10); ///< of asks for rate
    /// Above a round trip between zones: tokens that come from two peers are partly lost.
    duration tokenRetry = std::chrono::milliseconds(25);
    duration longestRetry = std::chrono::seconds(1);
    std::size_t fanout = 3; ///< peers that are asked at once for rate
    std::size_t candidates = 24; ///< peers that are asked in turn, per resource
    /// Of all loan messages that an instance sends. With 360 B/s for its lease this leaves 440 B/s
    /// of a daemon's 3 KB/s for everything else.
    std::int64_t bytesPerSecond = 2'200;
    std::int64_t byteBurst = 30'000; ///< a new instance borrows every limit at once
};

/// One limit as an instance sees it.
struct limit_entry
{
    share_ledger book;
    demand_estimate demand;
    std::uint32_t waiting = 0; ///< statements that wait for a token or a connection
    std::uint32_t inUse = 0; ///< open connections; 0 for a workspace
    std::vector<incarnation_id> candidates; ///< own zone first
    std::size_t nextCandidate = 0;
    time_point nextAsk{}; ///< for rate
    duration retry{ 0 };
    std::size_t nextTokenCandidate = 0; ///< stays while that peer gives
    time_point nextTokenAsk{};
    duration tokenRetry{ 0 };
    time_point nextRenewal{};
    time_point surplusSince = noDeadline; ///< since when a loan could be returned
};

/// Invariant: a limit is in active while it has demand, loans in or waiting statements.
struct loan_desk
{
    peer_ref self;
    loan_settings settings;
    bool areLoansOn = true; ///< the switch `loans`
    std::map<resource_id, limit_entry> limits;
    std::set<resource_id> active;
    std::set<resource_id> urgent; ///< a statement has found no token since the last poll
    std::map<incarnation_id, std::uint64_t> lastRequests; ///< by borrower, against duplicates
    std::uint64_t nextRequest = 1;
    time_point nextScan{};
    token_bucket budget; ///< one token is one byte of loan messages
};

enum class admission : std::uint8_t {
    Granted,
    Wait, ///< for a token, at most settings.admissionWait
    Refused, ///< error_kind::RateLimited
};

/// @brief Prepares a desk; its limits are added by openLimit().
[[nodiscard]] loan_desk makeDesk(const peer_ref &self, const loan_settings &settings,
                                 time_point now);

/// @brief Adds a limit or changes its rate and burst.
/// @complexity logarithmic in the limits
limit_entry &openLimit(loan_desk &desk, const resource_id &resource, std::int64_t rate,
                       token_amount burst, share_count total, time_point now);

/// @brief Removes a limit that was withdrawn. Its loans end by themselves.
/// @complexity logarithmic in the limits
void closeLimit(loan_desk &desk, const resource_id &resource);

/// @brief Sets which peers may be asked for loans of @p resource, usually its shareHolders().
/// @complexity linear in the peers, times logarithm
void setCandidates(loan_desk &desk, const resource_id &resource,
                   const std::vector<incarnation_id> &holders, const std::vector<peer_ref> &live,
                   random_engine &random);

/// @brief Applies the lease's deadline to the home shares of all limits.
/// @complexity linear in the limits
void setHomeUntil(loan_desk &desk, time_point until, time_point now);

/// @brief Decides on a statement that arrives. After admission::Wait the caller polls the desk at
/// once and tries admitWaiting() when a grant comes and at nextTokenAt().
/// @complexity logarithmic in the limits
[[nodiscard]] admission admit(loan_desk &desk, const resource_id &resource, time_point now);

/// @brief Takes a token for the statement that has waited longest.
/// @complexity logarithmic in the limits
[[nodiscard]] bool admitWaiting(loan_desk &desk, const resource_id &resource, time_point now);

/// @brief Notes that a waiting statement was refused or its caller has gone.
void abandonWaiting(loan_desk &desk, const resource_id &resource);

/// @return when the limit will have a token without any loan; noDeadline if never
[[nodiscard]] time_point nextTokenAt(const loan_desk &desk, const resource_id &resource);

/// @brief Sets the demand for a group's connections.
/// @complexity logarithmic in the limits
void setConnections(loan_desk &desk, const resource_id &group, std::uint32_t inUse,
                    std::uint32_t waiting);

/// @brief Shares that this instance needs for its own demand, at most the total.
/// @complexity constant
[[nodiscard]] share_count neededShares(const limit_entry &entry, time_point now);

/// @brief Sends the requests and returns that are due. Call it at nextPollAt() and after
/// admission::Wait.
/// @complexity linear in the active limits once per scanEvery, else in the urgent ones
[[nodiscard]] std::vector<loan_message> poll(loan_desk &desk, time_point now);

/// @return when poll() has something to do, at the latest after scanEvery
/// @complexity linear in the urgent limits
[[nodiscard]] time_point nextPollAt(const loan_desk &desk);

/// @brief Answers a borrower. Loans that this instance does not need itself any more are returned
/// at once, because somebody asks for the resource.
/// @complexity linear in the asks
[[nodiscard]] std::vector<loan_message> onLoanRequest(loan_desk &desk, const loan_request &request,
                                                      time_point now);

/// @return the resources that have more shares or tokens now
/// @complexity linear in the loans
std::vector<resource_id> onLoanGrant(loan_desk &desk, const loan_grant &grant, time_point now);

/// @return the resources that have more shares or tokens now
/// @complexity linear in the loans
std::vector<resource_id> onLoanReturns(loan_desk &desk, const loan_returns &returns,
                                       time_point now);

} // namespace fuchsiagw::core
