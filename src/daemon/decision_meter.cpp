/// @file
/// @brief Counters, gauges and the failover gap of the decisions.

#include <utility>

#include <fuchsiagw/daemon/decision_meter.hpp>

#include <algorithm>
#include <limits>

namespace fuchsiagw::daemon {

namespace {

using core::error_kind;

constexpr core::duration publishEvery = std::chrono::seconds(1);

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
        // A member that is far behind has answered; its connection lives on.
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
    failover_gap &gap = gaps_[owner.group];
    // Only the owner that watches the members knows when the old one was last heard.
    if (!owner.isMonitoringMembers) {
        gap = { notice.member, core::noDeadline, core::noDeadline, core::noDeadline, 0 };
        return;
    }
    // A write that has waited since an earlier loss still waits.
    const bool isFurtherLoss = gap.lostAt != core::noDeadline && gap.waitingAt != core::noDeadline;
    if (!gap.primary.empty() && !isFurtherLoss) {
        const core::member_view *lost = core::findMember(owner.view, gap.primary);
        const core::time_point heardAt = lost == nullptr ? now : lost->lastHeard;
        gap.lostAt = std::clamp(heardAt, std::min(owner.failover.resumedAt, now), now);
        gap.changedAt = core::noDeadline;
        gap.waitingAt = hasWaitingWrite(owner) ? now : core::noDeadline;
    }
    gap.primary = notice.member;
    if (notice.member.empty() || gap.lostAt == core::noDeadline)
        return;
    gap.changedAt = now;
    gap.term = notice.term;
    if (notice.term == owner.failover.highestAttemptedTerm)
        counts_.count(counter::Promotions);
}

void decision_meter::onAnswer(const core::group_id &group, const core::statement_answer &answer,
                              core::time_point now)
{
    const auto entry = gaps_.find(group);
    if (entry == gaps_.end() || answer.error || answer.position == core::log_position{})
        return;
    failover_gap &gap = entry->second;
    if (gap.changedAt == core::noDeadline || answer.position.term < gap.term)
        return;
    // Time in which no write was there to be acknowledged is not part of the gap.
    core::duration idle{ 0 };
    if (gap.waitingAt == core::noDeadline)
        idle = now - gap.changedAt;
    else if (gap.waitingAt > gap.changedAt)
        idle = gap.waitingAt - gap.changedAt;
    counts_.add(delay::FailoverGap, now - gap.lostAt - idle);
    gap.lostAt = core::noDeadline;
    gap.changedAt = core::noDeadline;
    gap.waitingAt = core::noDeadline;
}

void decision_meter::tick(const cluster &instances, core::time_point now)
{
    for (auto &[group, gap] : gaps_) {
        if (gap.lostAt == core::noDeadline || gap.waitingAt != core::noDeadline)
            continue;
        const auto owner = gateway_.owners.find(group);
        if (owner != gateway_.owners.end() && hasWaitingWrite(owner->second))
            gap.waitingAt = now;
    }
    if (now < nextPublish_)
        return;
    nextPublish_ = now + publishEvery;
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
