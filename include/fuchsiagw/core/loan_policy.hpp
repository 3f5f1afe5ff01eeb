/// @file
/// @brief Admits statements and decides about loans of shares between instances: when an instance
/// requests how many shares from which peers, and how many a lender grants.
///
/// If there is no token for a statement, the statement waits for a short time while its instance
/// requests a loan from a few peers. A lender grants at most half of its spare shares, so that it
/// can serve its own next burst.

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
    /// Covers several round trips between zones. Delays a statement above the rate once.
    duration maxAdmissionWait = std::chrono::milliseconds(200);
    duration scanInterval = std::chrono::milliseconds(100);
    duration renewalLeadTime = std::chrono::seconds(1); ///< before the end of a loan
    duration renewalRetryInterval = std::chrono::milliseconds(300);
    duration minRetryInterval = std::chrono::milliseconds(10); ///< between requests for rate
    /// Exceeds a round trip between zones, because part of the tokens is lost when two peers lend
    /// tokens for the same need.
    duration tokenRetryInterval = std::chrono::milliseconds(25);
    duration maxRetryInterval = std::chrono::seconds(1);
    std::size_t fanout = 3; ///< peers that a request for rate is sent to at once
    std::size_t maxCandidates = 24; ///< peers per resource that requests are sent to in turn
    /// Bounds all loan messages that an instance sends. With 360 B/s for its lease, this leaves
    /// 440 B/s of a daemon's budget of 3 KB/s for all other control traffic.
    std::int64_t bytesPerSecond = 2'200;
    std::int64_t byteBurst = 30'000; ///< a new instance requests loans for all its limits at once
};

/// State of one limit at this instance.
struct limit_entry
{
    share_ledger ledger;
    demand_estimate demand;
    std::uint32_t waiting = 0; ///< statements that wait for a token or a connection
    std::uint32_t inUse = 0; ///< open connections; 0 for a workspace
    std::vector<incarnation_id> candidates; ///< possible lenders, those of the own zone first
    std::size_t nextCandidate = 0;
    time_point nextRateRequestAt{};
    duration rateRetryBackoff{ 0 };
    std::size_t nextTokenCandidate = 0; ///< stays at a peer while that peer grants tokens
    time_point nextTokenRequestAt{};
    duration tokenRetryBackoff{ 0 };
    time_point nextRenewalAt{};
    time_point surplusSince = noDeadline; ///< a loan has been dispensable since then
};

/// The loans of a set of limits.
/// Invariant: active contains each limit that has demand, borrowed shares or waiting statements.
struct loan_manager
{
    peer_ref self;
    loan_settings settings;
    bool areLoansOn = true; ///< operators' switch `loans`
    std::map<resource_id, limit_entry> limits;
    std::set<resource_id> active;
    std::set<resource_id> urgent; ///< limits that lacked a token or connection since the last poll
    std::map<incarnation_id, std::uint64_t> lastRequestNumbers; ///< by borrower; rejects duplicates
    std::uint64_t nextRequestNumber = 1;
    time_point nextScanAt{};
    token_bucket byteBudget; ///< one token per byte of loan messages
};

enum class admission : std::uint8_t {
    Granted,
    Wait, ///< waits for a token, at most for settings.maxAdmissionWait
    Refused, ///< error_kind::RateLimited
};

/// @brief Creates a loan manager without limits; addOrUpdateLimit() adds them.
[[nodiscard]] loan_manager makeLoanManager(const peer_ref &self, const loan_settings &settings,
                                           time_point now);

/// @brief Adds a limit or changes its rate and burst.
/// @complexity logarithmic in the limits
limit_entry &addOrUpdateLimit(loan_manager &manager, const resource_id &resource, std::int64_t rate,
                              token_amount burst, share_count total, time_point now);

/// @brief Removes a withdrawn limit. Its loans expire at the end of their terms.
/// @complexity logarithmic in the limits
void removeLimit(loan_manager &manager, const resource_id &resource);

/// @brief Sets the peers that loans of @p resource may be requested from, usually its
/// shareHolders().
/// @complexity linear in the peers, times logarithm
void setCandidates(loan_manager &manager, const resource_id &resource,
                   const std::vector<incarnation_id> &holders, const std::vector<peer_ref> &live,
                   random_engine &random);

/// @brief Applies the deadline of the incarnation lease to the home shares of all limits.
/// @complexity linear in the limits
void setHomeUntil(loan_manager &manager, time_point until, time_point now);

/// @brief Decides whether to admit an arriving statement. After admission::Wait the caller must
/// call poll() at once, and admitWaiting() when a grant arrives and at nextTokenAt().
/// @complexity logarithmic in the limits
[[nodiscard]] admission admit(loan_manager &manager, const resource_id &resource, time_point now);

/// @brief Takes a token for the statement that has waited longest.
/// @return false if no statement waits or there is no token
/// @complexity logarithmic in the limits
[[nodiscard]] bool admitWaiting(loan_manager &manager, const resource_id &resource, time_point now);

/// @brief Records that a waiting statement was refused or its caller disconnected.
void abandonWaiting(loan_manager &manager, const resource_id &resource);

/// @return when the limit's bucket will hold a token without a new loan; noDeadline if never
[[nodiscard]] time_point nextTokenAt(const loan_manager &manager, const resource_id &resource);

/// @brief Sets the demand for a group's connections.
/// @complexity logarithmic in the limits
void setConnections(loan_manager &manager, const resource_id &group, std::uint32_t inUse,
                    std::uint32_t waiting);

/// @return shares that this instance needs for its own demand, at most the total
/// @complexity constant
[[nodiscard]] share_count neededShares(const limit_entry &entry, time_point now);

/// @brief Creates the due requests and returns. Call it at nextPollAt() and after admission::Wait.
/// @complexity linear in the active limits once per scanInterval, otherwise in the urgent limits
[[nodiscard]] std::vector<loan_message> poll(loan_manager &manager, time_point now);

/// @return when poll() must be called next; scanInterval after the last scan at the latest
/// @complexity linear in the urgent limits
[[nodiscard]] time_point nextPollAt(const loan_manager &manager);

/// @brief Answers a borrower's request. Loans that this instance no longer needs itself are
/// returned at once, because the request shows that another instance needs the resource.
/// @complexity linear in the requested loans
[[nodiscard]] std::vector<loan_message> onLoanRequest(loan_manager &manager,
                                                      const loan_request &request, time_point now);

/// @brief Applies a lender's grant to the share ledgers.
/// @return the resources that gained shares or tokens
/// @complexity linear in the loans
std::vector<resource_id> onLoanGrant(loan_manager &manager, const loan_grant &grant,
                                     time_point now);

/// @brief Applies early returns of borrowers to the share ledgers.
/// @return the resources that gained shares or tokens
/// @complexity linear in the loans
std::vector<resource_id> onLoanReturns(loan_manager &manager, const loan_returns &returns,
                                       time_point now);

} // namespace fuchsiagw::core
