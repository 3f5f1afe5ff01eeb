/// @file
/// @brief Promotion orders that an earlier attempt has left open: their completion by a later
/// attempt, and the pauses on which they rest meanwhile.

#include <fuchsiagw/detail/promotion_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// Time for the report of an ordered member before its order is sent again without one.
constexpr milliseconds completionReportTimeout{ 500 };
/// Renewal of the pauses of open orders between two attempts.
constexpr milliseconds guardInterval{ 100 };
/// Daemons without the token that guard beside its holder, by rank: each pause takes a slot of the
/// member.
constexpr std::size_t maxGuardHelpers = 3;
constexpr milliseconds maxNoticeInterval{ 700 };
/// A new order is told of more often, because a daemon that misses the notice goes on to write.
constexpr milliseconds minNoticeInterval{ 50 };
/// The pauses are renewed for this time after the lease, for a daemon that waits for its next
/// token. Another one may have closed the order by then.
constexpr milliseconds guardGrace{ 3'000 };
/// Longer than the lease, so that the daemon that guards an order is first to renew it.
constexpr milliseconds noticeTimeout{ 3'200 };

void setOpenOrders(service_state &service, const open_orders &orders, core::time_point now)
{
    service.openOrders = orders;
    service.openOrdersKnownAt = now;
    service.areOrdersKnown = true;
}

void logOpenOrders(engine &state, const service_state &service, note_kind kind,
                   std::string_view reason, core::time_point now)
{
    for (const promotion_order &each : service.openOrders) {
        decision_note note;
        note.kind = kind;
        note.service = service.name;
        note.member = each.member;
        note.reason = reason;
        note.age = now - service.openOrdersKnownAt;
        note.number = static_cast<std::int64_t>(each.token);
        state.out.emplace_back(std::move(note));
    }
}

/// @return the member of the newest order that would replace the leader
std::string receiverOf(const service_state &service)
{
    const auto &orders = service.openOrders;
    const auto found = std::find_if(orders.rbegin(), orders.rend(), [&](const auto &each) {
        return each.member != service.leader;
    });
    return found == orders.rend() ? std::string() : found->member;
}

/// @return whether a reported log is longer than that of the member of the open order
bool isBehind(const service_state &service)
{
    const promotion_state &attempt = service.promotion;
    const std::string deposed = deposedPrimary(service);
    const auto own = attempt.reports.find(attempt.chosen);
    return own != attempt.reports.end()
           && std::any_of(attempt.reports.begin(), attempt.reports.end(), [&](const auto &each) {
                  return each.first != attempt.oldPrimary && each.first != deposed
                         && each.second.received > own->second.received;
              });
}

/// @return whether the member of the open order does not answer; the loss of one connection to it
/// also drops its report
bool isSilent(engine &state, const promotion_state &attempt)
{
    const member_state *member = findMember(state, attempt.chosen);
    const bool isUnresponsive =
            member == nullptr || !member->listed || member->unresponsiveSince != core::noDeadline;
    return isUnresponsive && !attempt.reports.contains(attempt.chosen);
}

/// No order is open any more: the replicas that were kept paused resume.
void endWithoutOpenOrder(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    attempt.fenced = service.members;
    attempt.fenced.erase(service.leader);
    abortAttempt(state, service, "order_closed", now);
}

} // namespace

bool applyOpenOrders(engine &state, service_state &service, const open_orders &orders,
                     core::time_point now)
{
    promotion_state &attempt = service.promotion;
    stopGuard(service);
    service.noticedOrder.clear();
    setOpenOrders(service, orders, now);
    logOpenOrders(state, service, note_kind::PromotionOrderOpen, "recorded", now);
    // A primary that has stepped down is no leader, so an order for it changes something.
    const bool isOpen = mayReplace(orders, service.leader);
    if (!isOpen && attempt.cause == promotion_cause::OrderOpen) {
        endWithoutOpenOrder(state, service, now);
        return false;
    }
    if (!isOpen)
        return true;
    // The order is older than a lease, so it is late.
    fencePrimary(service, now);
    if (orders.back().member != service.leader) {
        attempt.completesOrder = true;
        attempt.chosen = orders.back().member;
    } else if (attempt.cause == promotion_cause::OrderOpen) {
        // The newest order is for the present primary; once accepted it closes the older ones.
        attempt.cause = promotion_cause::ReplicaPaused;
    }
    return true;
}

void stepCompletion(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (now >= attempt.phaseDeadline) {
        abortAttempt(state, service, "members_missing", now);
        return;
    }
    if (now - attempt.startedAt >= completionReportTimeout) {
        if (isBehind(service)) {
            leaveCompletion(state, service, "order_behind", now);
            return;
        }
        if (isSilent(state, attempt)) {
            // The platform's answer shows whether the member runs.
            orderPromotion(state, service, now);
            return;
        }
    }
    if (now < attempt.nextProbeAt)
        return;
    pauseReplicas(state, service, now);
    sendControlCommand(state, attempt.oldPrimary, command_kind::Status, 0, now);
}

void leaveCompletion(engine &state, service_state &service, std::string_view reason,
                     core::time_point now)
{
    promotion_state &attempt = service.promotion;
    logPromotion(state, note_kind::PromotionStep, service, reason, now);
    attempt.completesOrder = false;
    attempt.orderSent = false;
    attempt.chosen.clear();
    if (attempt.oldPrimaryLeads) {
        // An accepted order for the present primary changes nothing and closes the earlier ones.
        attempt.cause = promotion_cause::ReplicaPaused;
        startRepair(state, service, now);
        return;
    }
    attempt.reports.clear();
    enterPhase(attempt, promotion_phase::Fencing,
               std::min(now + fencingTimeout, attempt.leaseUntil));
    if (!applyDeposed(service, now))
        pauseReplicas(state, service, now);
}

void onOpenOrdersRead(engine &state, const std::string &serviceName, const open_orders &orders,
                      std::uint64_t version, core::time_point now)
{
    service_state *service = findService(state, serviceName);
    // An attempt of this daemon may have read the row, and added its order, since the question.
    if (service == nullptr || service->areOrdersKnown)
        return;
    helpGuard(state, *service, orders, version, now, now);
    deliverReceivedCommits(state, *service, now);
    if (!service->queue.empty())
        serveQueue(state, *service, now);
}

void onOrdersRecorded(engine &state, const std::string &serviceName, std::uint64_t token,
                      bool isRecorded, core::time_point now)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::RecordingOrder
        || service->promotion.token != token)
        return;
    if (isRecorded)
        sendOrder(state, *service, now);
    else
        abortAttempt(state, *service, "order_not_recorded", now);
}

void closeOrdersOf(engine &state, service_state &service, const std::string &leader,
                   core::time_point askedAt, core::time_point now)
{
    if (!promoteOnly(service.openOrders, leader) || askedAt < service.openOrdersKnownAt)
        return;
    logOpenOrders(state, service, note_kind::PromotionOrderClosed, "leads", now);
    setOpenOrders(service, {}, now);
    stopGuard(service);
}

void startGuard(service_state &service, core::time_point now)
{
    const bool isNeeded = mayReplace(service.openOrders, service.leader);
    service.guardTerm = isNeeded ? service.promotion.fenceTerm : 0;
    service.guardToken = service.promotion.token;
    service.guardLeaseUntil = service.promotion.leaseUntil;
    service.guardUntil = service.promotion.leaseUntil + guardGrace;
    service.nextGuardAt = isNeeded ? now : core::noDeadline;
    service.nextOrderNoticeAt = now;
}

void helpGuard(engine &state, service_state &service, const open_orders &orders,
               std::uint64_t version, core::time_point until, core::time_point now)
{
    // Unless its holder tells otherwise, the primary of a planned replacement serves meanwhile.
    fencePrimary(service, now + promotionEffectTimeout);
    setOpenOrders(service, orders, now);
    service.noticedOrder.clear();
    if (!mayReplace(orders, service.leader) || serviceRank(state, service) >= maxGuardHelpers)
        return;
    logOpenOrders(state, service, note_kind::PromotionOrderOpen, "held_by_other", now);
    service.guardTerm = service.term + 1;
    service.guardToken = version;
    // Only the holder decides who receives, and tells of the order.
    service.guardLeaseUntil = now;
    service.nextOrderNoticeAt = core::noDeadline;
    service.guardUntil = until + guardGrace;
    service.nextGuardAt = now;
}

void stopGuard(service_state &service)
{
    service.guardPaused.clear();
    service.guardTerm = 0;
    service.nextGuardAt = core::noDeadline;
}

void stepOrderNotice(engine &state, service_state &service, core::time_point now)
{
    if (now < service.nextOrderNoticeAt || !mayReplace(service.openOrders, service.leader))
        return;
    service.nextOrderNoticeAt = now
                                + std::clamp<core::duration>(now - service.openOrdersKnownAt,
                                                             minNoticeInterval, maxNoticeInterval);
    // A member that joins meanwhile has to be paused, also if the feed of changes is silent.
    state.out.emplace_back(refresh_directory{});
    const std::uint64_t token = std::max(service.promotion.token, service.guardToken);
    announceOpenOrder(state, service, service.openOrders.back().member, token,
                      isFenced(service, service.leader, now));
}

void onOpenOrderNotice(engine &state, const peer_message &message, core::time_point now)
{
    service_state *service = findService(state, message.subject);
    // The sender may not know yet that a member leads which its order would not replace.
    if (service == nullptr || isOfEarlierTerm(*service, message))
        return;
    const std::string &member = message.member;
    const auto token = static_cast<std::uint64_t>(std::max<std::int64_t>(message.amount, 0));
    const bool isFenced = message.kind == peer_message_kind::PrimaryFenced;
    // The daemon with the later token decides which replicas are paused. One whose order is for the
    // present primary resumes them when it is done.
    if (token > service->guardToken || member == service->leader)
        stopGuard(*service);
    fencePrimary(*service, isFenced ? now : core::noDeadline);
    // Each daemon tells others once, so that a notice reaches all of them in a few steps.
    std::uint64_t &known = isFenced ? service->noticedFence : service->noticedToken;
    if (token > known) {
        known = token;
        announceOpenOrder(state, *service, member, token, isFenced);
    }
    service->noticedOrder = member;
    service->noticeValidUntil = now + noticeTimeout;
    stepFence(state, *service, now);
}

void watchReceiver(engine &state, service_state &service, const std::string &memberId,
                   const member_status &status, core::time_point sentAt, core::time_point now)
{
    receiver_watch &watch = service.receiver;
    if (!mayReplace(service.openOrders, service.leader)) {
        watch = {};
        return;
    }
    const auto primary = newestSample(service.positions);
    if (memberId != receiverOf(service) || !primary)
        return;
    recordReceived(watch, status.received, sentAt, primary->position, primary->since);
    const bool isBehindNow = staysBehind(watch, now);
    const bool isChanged = isBehindNow || watch.behindSince == core::noDeadline;
    if (!isChanged || isBehindNow == watch.isReported)
        return;
    watch.isReported = isBehindNow;
    if (isBehindNow)
        fencePrimary(service, now);
    decision_note note;
    note.kind = note_kind::OrderedMemberBehind;
    note.service = service.name;
    note.member = memberId;
    note.reason = isBehindNow ? "receives_nothing" : "receives";
    note.position = status.received;
    note.age = isBehindNow ? now - watch.behindSince : core::duration(0);
    note.number = static_cast<std::int64_t>(primary->position.index);
    state.out.emplace_back(std::move(note));
}

bool isOrderUnguarded(service_state &service, core::time_point now)
{
    if (service.noticedOrder == service.leader)
        service.noticedOrder.clear();
    return !service.noticedOrder.empty() && now >= service.noticeValidUntil;
}

void stepGuard(engine &state, service_state &service, core::time_point now)
{
    if (now < service.nextGuardAt)
        return;
    const bool isOver = now >= service.guardUntil || service.term >= service.guardTerm;
    if (service.openOrders.empty() || isOver) {
        stopGuard(service);
        return;
    }
    service.nextGuardAt = now + guardInterval;
    stepOrderNotice(state, service, now);
    const std::string receiver = receiverOf(service);
    for (const std::string &id : service.members) {
        if (id == service.leader || id == deposedPrimary(service))
            continue;
        if (id != receiver) {
            if (service.guardPaused.insert(id).second)
                noteReplica(state, note_kind::ReplicaPaused, service, id, "guard", now);
            sendControlCommand(state, id, command_kind::PauseReceiving, service.guardTerm, now);
        } else if (now < service.guardLeaseUntil)
            sendControlCommand(state, id, command_kind::ResumeReceiving, 0, now);
    }
}

} // namespace fuchsiagw::proxy
