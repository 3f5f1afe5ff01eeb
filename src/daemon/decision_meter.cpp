/// @file
/// @brief Counters, gauges and failover gaps of the thread of gateway_driver.

#include <utility>

#include <fuchsiagw/daemon/decision_meter.hpp>

#include <algorithm>
#include <limits>

namespace fuchsiagw::daemon {

namespace {

using core::error_kind;

constexpr core::duration publishInterval = std::chrono::seconds(1);

bool isWrite(const core::owned_statement &statement)
{
    return statement.request.kind == core::statement_kind::Write
           || statement.request.kind == core::statement_kind::Commit;
}

bool hasWaitingWrite(const core::group_owner &owner)
{
    return std::any_of(owner.statements.begin(), owner.statements.end(),
                       [](const auto &each) { return isWrite(each.second); });
}

} // namespace

bool isWrongfulRefusal(error_kind error)
{
    switch (error) {
    case error_kind::KeyUnproven:
    case error_kind::Overloaded:
    case error_kind::DeadlineUnreachable:
    case error_kind::DeadlineExceeded:
    case error_kind::NoPrimary:
    case error_kind::NoMember:
    case error_kind::UpstreamRefused:
    case error_kind::NotReady:
    case error_kind::PeerUnreachable:
        return true;
    default:
        return false;
    }
}

void decision_meter::onAction(const core::gateway_action &action, bool isPlatformReachable,
                              core::time_point now)
{
    if (const auto *reply = std::get_if<core::caller_reply>(&action)) {
        onReply(*reply, isPlatformReachable);
        onAnswer(reply->group, reply->answer, now);
    } else if (const auto *result = std::get_if<core::forward_result>(&action)) {
        onAnswer(result->group, result->answer, now);
    } else if (std::holds_alternative<core::forward_statement>(action)) {
        counts_.count(counter::Forwards);
    } else if (const auto *group = std::get_if<core::group_action>(&action)) {
        if (std::holds_alternative<core::open_connection>(group->action))
            counts_.count(counter::UpstreamConnectionsOpened);
        else if (const auto *notice = std::get_if<core::owner_notice>(&group->action))
            onNotice(group->group, *notice, now);
    }
}

void decision_meter::onReply(const core::caller_reply &reply, bool isPlatformReachable)
{
    if (!reply.answer.error || !isWrongfulRefusal(*reply.answer.error))
        return;
    counts_.count(counter::WrongfulRefusals);
    const bool lacksKnowledge = *reply.answer.error == error_kind::KeyUnproven
                                || *reply.answer.error == error_kind::NotReady;
    if (lacksKnowledge && !isPlatformReachable)
        counts_.count(counter::WrongfulRefusalsPlatform);
    if (!reply.workspace.empty())
        ++counts_.of(reply.workspace).wrongfullyRefused;
}

void decision_meter::onNotice(const core::group_id &group, const core::owner_notice &notice,
                              core::time_point now)
{
    const auto owner = gateway_.owners.find(group);
    if (owner == gateway_.owners.end())
        return;
    switch (notice.event) {
    case core::owner_event::MemberFailed:
        // A member that is far behind still answers, and its connection stays open.
        if (notice.failure != core::member_failure::FarBehind)
            counts_.count(counter::UpstreamConnectionsLost);
        return;
    case core::owner_event::ForeignAnswer:
        counts_.count(counter::ForeignAnswersDropped);
        return;
    case core::owner_event::PrimaryChanged:
        onPrimary(owner->second, notice, now);
        return;
    case core::owner_event::PromotionStarted:
    case core::owner_event::ConnectionLimit:
        return;
    }
}

void decision_meter::onPrimary(const core::group_owner &owner, const core::owner_notice &notice,
                               core::time_point now)
{
    failover_gap &gap = failoverGaps_[owner.group];
    // Only an owner that monitors the members records when the old primary last answered.
    if (!owner.isMonitoringMembers) {
        gap = { notice.member, core::noDeadline, core::noDeadline, core::noDeadline, 0 };
        return;
    }
    // If a write has been waiting since an earlier loss, the gap continues.
    const bool isFurtherLoss =
            gap.primaryLostAt != core::noDeadline && gap.writeWaitingSince != core::noDeadline;
    if (!gap.primary.empty() && !isFurtherLoss) {
        const core::member_view *lostPrimary = core::findMember(owner.view, gap.primary);
        const core::time_point heardAt = lostPrimary == nullptr ? now : lostPrimary->lastHeardAt;
        gap.primaryLostAt = std::clamp(heardAt, std::min(owner.failover.resumedAt, now), now);
        gap.successorSeenAt = core::noDeadline;
        gap.writeWaitingSince = hasWaitingWrite(owner) ? now : core::noDeadline;
    }
    gap.primary = notice.member;
    if (notice.member.empty() || gap.primaryLostAt == core::noDeadline)
        return;
    gap.successorSeenAt = now;
    gap.term = notice.term;
    if (notice.term == owner.failover.highestAttemptedTerm)
        counts_.count(counter::Promotions);
}

void decision_meter::onAnswer(const core::group_id &group, const core::statement_answer &answer,
                              core::time_point now)
{
    const auto entry = failoverGaps_.find(group);
    if (entry == failoverGaps_.end() || answer.error || answer.position == core::log_position{})
        return;
    failover_gap &gap = entry->second;
    if (gap.successorSeenAt == core::noDeadline || answer.position.term < gap.term)
        return;
    // Time without any waiting write is not part of the gap.
    core::duration idleTime{ 0 };
    if (gap.writeWaitingSince == core::noDeadline)
        idleTime = now - gap.successorSeenAt;
    else if (gap.writeWaitingSince > gap.successorSeenAt)
        idleTime = gap.writeWaitingSince - gap.successorSeenAt;
    counts_.add(delay::FailoverGap, now - gap.primaryLostAt - idleTime);
    gap.primaryLostAt = core::noDeadline;
    gap.successorSeenAt = core::noDeadline;
    gap.writeWaitingSince = core::noDeadline;
}

void decision_meter::tick(const cluster &instances, core::time_point now)
{
    for (auto &[group, gap] : failoverGaps_) {
        if (gap.primaryLostAt == core::noDeadline || gap.writeWaitingSince != core::noDeadline)
            continue;
        const auto owner = gateway_.owners.find(group);
        if (owner != gateway_.owners.end() && hasWaitingWrite(owner->second))
            gap.writeWaitingSince = now;
    }
    if (now < nextPublishAt_)
        return;
    nextPublishAt_ = now + publishInterval;
    setGauges(instances, now);
    published_.publish(counts_);
}

void decision_meter::setGauges(const cluster &instances, core::time_point now)
{
    std::size_t queued = 0;
    std::size_t inFlight = 0;
    std::size_t connections = 0;
    for (const auto &[group, owner] : gateway_.owners) {
        queued += owner.queue.length + owner.readyCount + owner.parked.size();
        connections += owner.pool.connections.size();
        for (const auto &[member, view] : owner.view.members)
            inFlight += view.inFlight;
    }
    counts_.set(gauge::RequestsQueued, static_cast<double>(queued));
    counts_.set(gauge::RequestsInFlight, static_cast<double>(inFlight));
    counts_.set(gauge::UpstreamConnections, static_cast<double>(connections));
    counts_.set(gauge::ConfigurationVersion, static_cast<double>(gateway_.config.version));
    const core::freshness_proof &proof = gateway_.proof.usable;
    const bool hasProof = proof.source != core::proof_source::None;
    counts_.set(gauge::FreshnessAgeSeconds,
                hasProof ? std::chrono::duration<double>(now - proof.at).count()
                         : std::numeric_limits<double>::infinity());
    counts_.set(gauge::LiveInstances, static_cast<double>(instances.livePeers().size() + 1));
    counts_.set(gauge::Draining, gateway_.isDraining ? 1 : 0);
}

} // namespace fuchsiagw::daemon
