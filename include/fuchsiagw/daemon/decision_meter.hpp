/// @file
/// @brief Metrics of the thread of gateway_driver: promotions, failover gaps, connections,
/// refusals.

#pragma once

#include <fuchsiagw/core/gateway.hpp>
#include <fuchsiagw/daemon/cluster.hpp>
#include <fuchsiagw/daemon/metrics.hpp>
#include <fuchsiagw/daemon/snapshot_buffer.hpp>

#include <map>

namespace fuchsiagw::daemon {

/// @return whether the error means a refusal for lack of capacity, of an available member or of
/// current configuration, although the workspace was within its rate limit or the limit was not
/// checked
[[nodiscard]] bool isWrongfulRefusal(core::error_kind error);

/// Not thread-safe; runs on the thread of gateway_driver. Only published() is read by another
/// thread.
class decision_meter
{
public:
    explicit decision_meter(const core::gateway &gateway)
        : gateway_(gateway)
    { }

    /// @brief Updates the metrics for an action; must be called before the action is performed.
    void onAction(const core::gateway_action &action, bool isPlatformReachable,
                  core::time_point now);

    void onPlatformRequest() { counts_.count(counter::PlatformRequests); }
    void onPlatformResult(bool isAnswered)
    {
        counts_.count(counter::PlatformFailures, isAnswered ? 0 : 1);
    }

    /// @brief Detects writes that wait for a new primary, and publishes the metrics once a second.
    void tick(const cluster &instances, core::time_point now);

    /// @return the published copies of the metrics, for a single reader thread
    [[nodiscard]] snapshot_buffer<metrics> &published() { return published_; }

    [[nodiscard]] const metrics &counts() const { return counts_; }

private:
    /// Time from the loss of a group's primary to the first answer of its successor. Only groups
    /// whose members this instance monitors are measured.
    /// Invariant: successorSeenAt and writeWaitingSince are set only while primaryLostAt is set.
    struct failover_gap
    {
        core::member_id primary; ///< last known primary; empty: unknown
        /// When the lost primary last answered; the gap starts then.
        core::time_point primaryLostAt = core::noDeadline;
        core::time_point successorSeenAt = core::noDeadline;
        /// When a waiting write was first seen.
        core::time_point writeWaitingSince = core::noDeadline;
        core::term_number term = 0; ///< term of the successor
    };

    void onNotice(const core::group_id &group, const core::owner_notice &notice,
                  core::time_point now);
    void onPrimary(const core::group_owner &owner, const core::owner_notice &notice,
                   core::time_point now);
    void onAnswer(const core::group_id &group, const core::statement_answer &answer,
                  core::time_point now);
    void onReply(const core::caller_reply &reply, bool isPlatformReachable);
    void setGauges(const cluster &instances, core::time_point now);

    const core::gateway &gateway_;
    metrics counts_;
    snapshot_buffer<metrics> published_;
    std::map<core::group_id, failover_gap> failoverGaps_;
    core::time_point nextPublishAt_{};
};

} // namespace fuchsiagw::daemon
