/// @file
/// @brief Counts what the decisions do: promotions, failover gaps, connections, refusals.

#pragma once

#include <fuchsiagw/core/gateway.hpp>
#include <fuchsiagw/daemon/cluster.hpp>
#include <fuchsiagw/daemon/metrics.hpp>
#include <fuchsiagw/daemon/snapshot_buffer.hpp>

#include <map>

namespace fuchsiagw::daemon {

/// @brief Tells whether a refusal was for lack of capacity, of a member or of knowledge, although
/// the workspace had a token of its rate or was never asked for one.
[[nodiscard]] bool isWrongfulRefusal(core::error_kind error);

/// Part of the decisions; lives on their thread.
class decision_meter
{
public:
    explicit decision_meter(const core::gateway &gateway)
        : gateway_(gateway)
    { }

    /// @brief Takes in an action before it is carried out.
    void onAction(const core::gateway_action &action, bool isPlatformReachable,
                  core::time_point now);

    void onPlatformRequest() { counts_.count(counter::PlatformRequests); }
    void onPlatformResult(bool isAnswered)
    {
        counts_.count(counter::PlatformFailures, isAnswered ? 0 : 1);
    }

    /// @brief Notices writes that wait for a new primary, and publishes each second.
    void tick(const cluster &instances, core::time_point now);

    /// @return what was counted, for the one thread that reads it
    [[nodiscard]] snapshot_buffer<metrics> &published() { return published_; }

    [[nodiscard]] const metrics &counts() const { return counts_; }

private:
    /// A change of primary that this instance watches.
    /// Invariant: `changedAt` and `waitingAt` are set only while `lostAt` is.
    struct failover_gap
    {
        core::member_id primary; ///< newest one; empty: none known yet
        core::time_point lostAt = core::noDeadline; ///< last answer of the lost primary
        core::time_point changedAt = core::noDeadline; ///< when its successor was seen
        core::time_point waitingAt = core::noDeadline; ///< when a write was first seen waiting
        core::term_number term = 0; ///< of the successor
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
    std::map<core::group_id, failover_gap> gaps_;
    core::time_point nextPublish_{};
};

} // namespace fuchsiagw::daemon
