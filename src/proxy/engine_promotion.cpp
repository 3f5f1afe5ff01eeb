/// @file
/// @brief Detects that a group has no usable primary and carries a promotion out.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <fuchsiagw/core/rendezvous.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds askingTime{ 100 };
constexpr milliseconds tokenTime{ 1'500 };
/// Shorter than the lease, so that no other daemon acts before this one has ended its attempt.
constexpr milliseconds fencingTime{ 2'000 };
constexpr milliseconds leaseTime{ 2'700 }; // of 3 s in the store, less the way of its answer
constexpr milliseconds resumeInterval{ 150 };
constexpr milliseconds stepDownAfter{ 400 }; // in fencing, if a witness does not answer
constexpr milliseconds probeInterval{ 40 };
constexpr milliseconds orderTime{ 700 };
constexpr milliseconds settleProbe{ 60 };
constexpr milliseconds retryPause{ 400 };
/// A group without a primary asks this often whether the operator has switched promotions on again.
constexpr milliseconds switchedOffPause{ 5'000 };
/// Daemons that see the same loss start one after the other, in an order that differs by service,
/// so that the first one acts before the others ask the store.
constexpr milliseconds startSpread{ 60 };
constexpr milliseconds startInterval{ 90 };
/// Of the daemons that start in order; the others start together with the last of them.
constexpr std::size_t startRanks = 12;

core::duration drawn(engine &state, core::duration bound)
{
    return core::duration(static_cast<std::int64_t>(
            core::drawBelow(state.random, static_cast<std::uint64_t>(bound.count()))));
}

core::duration startDelay(engine &state, service_state &service)
{
    const std::size_t rank = std::min(rankOf(state, service), startRanks);
    return startInterval * static_cast<int>(rank) + drawn(state, startSpread);
}

void notePromotion(engine &state, note_kind kind, const service_state &service,
                   std::string_view reason, core::time_point now)
{
    const promotion_state &run = service.promotion;
    decision_note line;
    line.kind = kind;
    line.service = service.name;
    line.member = run.chosen.empty() ? run.oldPrimary : run.chosen;
    line.reason = reason;
    line.number = static_cast<std::int64_t>(run.token);
    line.age = now - run.startedAt;
    const auto report = run.reports.find(run.chosen);
    if (report != run.reports.end())
        line.position = report->second.received;
    state.out.emplace_back(std::move(line));
}

void enter(promotion_state &run, promotion_phase phase, core::time_point until)
{
    run.phase = phase;
    run.phaseUntil = until;
}

void drawToken(engine &state, service_state &service, core::time_point now)
{
    promotion_state &run = service.promotion;
    enter(run, promotion_phase::DrawingToken, now + tokenTime);
    // Counted from the question: the store's lease starts when it answers.
    run.leaseUntil = now + leaseTime;
    state.out.emplace_back(acquire_fencing_token{ service.name });
}

void begin(engine &state, service_state &service, promotion_cause cause, core::time_point now)
{
    promotion_state &run = service.promotion;
    const core::time_point notBefore = run.notBefore;
    if (notBefore == core::time_point{} || now - notBefore > std::chrono::seconds(2)) {
        // The first sign: wait a moment of chance, so that one daemon acts before the others start.
        run.notBefore = now + startDelay(state, service);
        return;
    }
    run = {};
    run.cause = cause;
    run.startedAt = now;
    run.oldPrimary = service.leader;
    run.notBefore = now;
    notePromotion(state, note_kind::PromotionStarted, service, toString(cause), now);
    const bool primaryServes =
            cause == promotion_cause::PrimaryDraining || cause == promotion_cause::ReplicaPaused;
    if (primaryServes || state.peers.empty()) {
        drawToken(state, service, now);
        return;
    }
    enter(run, promotion_phase::Asking, now + askingTime);
    peer_message question;
    question.kind = peer_message_kind::ReachabilityRequest;
    question.from = state.settings.node;
    question.incarnation = state.incarnation;
    question.subject = service.name;
    question.member = run.oldPrimary;
    std::size_t asked = 0;
    constexpr std::size_t mostAsked = 16;
    for (const auto &[name, peer] : state.peers) {
        if (asked++ < mostAsked)
            state.out.emplace_back(send_to_peer{ name, question });
    }
}

/// Makes the replicas that were paused receive again. They are told until they say that they do,
/// but only while no other daemon can have started an attempt.
void resumeFenced(service_state &service, core::time_point now)
{
    promotion_state &run = service.promotion;
    run.toResume = run.fenced;
    run.toResume.erase(run.chosen);
    run.nextResume = run.toResume.empty() ? core::noDeadline : now;
}

void stepResume(engine &state, service_state &service, core::time_point now)
{
    promotion_state &run = service.promotion;
    if (now < run.nextResume)
        return;
    run.nextResume = now + resumeInterval;
    if (run.toResume.empty() || now >= run.leaseUntil) {
        run.toResume.clear();
        run.nextResume = core::noDeadline;
        return;
    }
    for (const std::string &each : run.toResume)
        sendControlCommand(state, each, command_kind::ResumeReceiving, 0, now);
}

/// Ends an attempt. Replicas that were paused for it receive again, unless an order may still come.
void giveUp(engine &state, service_state &service, std::string_view reason, core::time_point now)
{
    promotion_state &run = service.promotion;
    notePromotion(state, note_kind::PromotionEnded, service, reason, now);
    if (!run.ordered) {
        run.chosen.clear();
        resumeFenced(service, now);
    }
    run.phase = promotion_phase::None;
    run.notBefore = now + retryPause + drawn(state, retryPause);
    run.nextProbe = core::noDeadline;
    run.phaseUntil = core::noDeadline;
}

void fence(engine &state, service_state &service, core::time_point now)
{
    promotion_state &run = service.promotion;
    run.nextProbe = now + probeInterval;
    const bool leaderServes = run.cause == promotion_cause::PrimaryDraining;
    const std::set<std::string> electable = electableMembers(state, service);
    if (leaderServes && run.chosen.empty()) {
        // The others stop to receive, so that from then on every commit needs the chosen one.
        core::time_point newest{};
        for (const std::string &id : electable) {
            const member_state &member = state.members.at(id);
            const bool better = run.chosen.empty() || member.lastAnswerAt > newest;
            if (member.silentSince == core::noDeadline && better) {
                run.chosen = id;
                newest = member.lastAnswerAt;
            }
        }
    }
    for (const std::string &id : service.members) {
        const member_state &member = state.members.at(id);
        if (id == run.oldPrimary || !member.listed)
            continue;
        const auto report = run.reports.find(id);
        if (leaderServes && id == run.chosen) {
            sendControlCommand(state, id, command_kind::Status, 0, now);
        } else if (report == run.reports.end() || report->second.pausedTerm == 0) {
            run.fenced.insert(id);
            sendControlCommand(state, id, command_kind::PauseReceiving, run.fenceTerm, now);
        }
    }
}

/// With a witness missing, only the old primary itself can tell what was acknowledged.
void stepDownOld(engine &state, service_state &service, core::time_point now)
{
    promotion_state &run = service.promotion;
    const member_state *old = findMember(state, run.oldPrimary);
    if (run.steppedDown || old == nullptr || !old->listed)
        return;
    run.steppedDown = true;
    // What the replicas reported while they were paused does not bound the log any more; only the
    // old primary's answer does.
    run.reports.clear();
    for (const std::string &each : run.fenced)
        sendControlCommand(state, each, command_kind::ResumeReceiving, 0, now);
    // They are told again at the end of the attempt if this does not reach them.
    sendControlCommand(state, run.oldPrimary, command_kind::StepDown, run.fenceTerm, now);
}

/// Whether the attempt rests on the belief that no member leads.
bool mustNotLead(const promotion_state &run)
{
    const bool believed =
            run.cause == promotion_cause::PrimarySilent || run.cause == promotion_cause::NoPrimary;
    const bool early = run.phase == promotion_phase::Asking
                       || run.phase == promotion_phase::DrawingToken
                       || run.phase == promotion_phase::Fencing;
    return believed && early;
}

/// Whether an answer bounds what the members can have acknowledged: it does if the member has
/// stopped to receive for this attempt, or if its log may only grow from here on.
bool countsAsReport(const promotion_state &run, const std::string &member,
                    const member_status &status)
{
    if (run.phase != promotion_phase::Fencing)
        return false;
    if (run.steppedDown)
        return member != run.oldPrimary || !status.leads;
    if (run.cause == promotion_cause::PrimaryDraining && member == run.chosen)
        return true;
    return run.fenced.contains(member) && status.pausedTerm >= run.fenceTerm;
}

void sendOrder(engine &state, service_state &service, core::time_point now)
{
    promotion_state &run = service.promotion;
    run.ordered = true;
    ++state.counters.promotionsOrdered;
    run.nextProbe = core::noDeadline;
    enter(run, promotion_phase::Ordering, now + orderTime);
    notePromotion(state, note_kind::PromotionStep, service, "ordered", now);
    state.out.emplace_back(order_promotion{ service.name, run.chosen, run.token });
}

void evaluate(engine &state, service_state &service, core::time_point now)
{
    promotion_state &run = service.promotion;
    if (now >= run.leaseUntil || (run.steppedDown && !run.reports.contains(run.oldPrimary)))
        return;
    std::set<std::string> electable = electableMembers(state, service);
    if (run.cause == promotion_cause::PrimaryDraining && !run.steppedDown && !run.chosen.empty()) {
        for (auto each = electable.begin(); each != electable.end();)
            each = *each == run.chosen ? std::next(each) : electable.erase(each);
    }
    const promotion_choice choice = chooseNext(run, electable, witnessesOf(state, service));
    if (choice.member.empty() || choice.waitsForCatchUp)
        return;
    run.chosen = choice.member;
    sendOrder(state, service, now);
}

void stepFencing(engine &state, service_state &service, core::time_point now)
{
    promotion_state &run = service.promotion;
    evaluate(state, service, now);
    if (run.phase != promotion_phase::Fencing)
        return;
    if (now >= run.phaseUntil) {
        giveUp(state, service, "members_missing", now);
        return;
    }
    if (now - run.startedAt >= stepDownAfter + askingTime)
        stepDownOld(state, service, now);
    if (now >= run.nextProbe) {
        if (run.steppedDown) {
            run.nextProbe = now + probeInterval;
            for (const std::string &each : electableMembers(state, service))
                sendControlCommand(state, each, command_kind::Status, 0, now);
            if (!run.reports.contains(run.oldPrimary))
                sendControlCommand(state, run.oldPrimary, command_kind::StepDown, run.fenceTerm,
                                   now);
        } else {
            fence(state, service, now);
        }
    }
}

void finishPromotion(engine &state, service_state &service, core::time_point now)
{
    promotion_state &run = service.promotion;
    notePromotion(state, note_kind::PromotionDone, service, "leads", now);
    resumeFenced(service, now);
    run.phase = promotion_phase::None;
    run.nextProbe = core::noDeadline;
    run.phaseUntil = core::noDeadline;
    run.notBefore = now + retryPause;
}

void step(engine &state, service_state &service, core::time_point now)
{
    promotion_state &run = service.promotion;
    switch (run.phase) {
    case promotion_phase::None: {
        if (now < run.notBefore)
            return;
        if (const auto cause = causeNow(state, service, now))
            begin(state, service, *cause, now);
        return;
    }
    case promotion_phase::Asking:
        if (now < run.phaseUntil)
            return;
        if (run.peersReaching.size() > run.peersNotReaching.size()) {
            giveUp(state, service, "peers_reach_it", now);
            return;
        }
        drawToken(state, service, now);
        return;
    case promotion_phase::DrawingToken:
        if (now >= run.phaseUntil)
            giveUp(state, service, "no_token", now);
        return;
    case promotion_phase::Fencing:
        stepFencing(state, service, now);
        return;
    case promotion_phase::Ordering:
        if (now >= run.phaseUntil) {
            enter(run, promotion_phase::Settling, now + orderTime * 2);
            run.nextProbe = now;
        }
        return;
    case promotion_phase::Settling:
        if (now >= run.phaseUntil) {
            run.nextProbe = core::noDeadline;
            enter(run, promotion_phase::Ordering, now + orderTime);
            state.out.emplace_back(order_promotion{ service.name, run.chosen, run.token });
            return;
        }
        if (now >= run.nextProbe) {
            run.nextProbe = now + settleProbe;
            sendControlCommand(state, run.chosen, command_kind::Status, 0, now);
        }
    }
}

} // namespace

void stepPromotions(engine &state, core::time_point now)
{
    for (auto &[name, service] : state.services) {
        step(state, service, now);
        stepResume(state, service, now);
    }
}

core::time_point nextPromotionStep(const engine &state)
{
    core::time_point due = core::noDeadline;
    for (const auto &[name, service] : state.services)
        due = std::min({ due, service.promotion.phaseUntil, service.promotion.nextProbe,
                         service.promotion.nextResume });
    return due;
}

void onTokenAcquired(engine &state, const std::string &serviceName, std::uint64_t token,
                     core::time_point now)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::DrawingToken)
        return;
    promotion_state &run = service->promotion;
    if (token == 0) {
        giveUp(state, *service, "no_token", now);
        return;
    }
    run.token = token;
    // Reports from before the fence tell nothing: a member that still receives may be ahead of
    // them.
    run.reports.clear();
    if (now >= run.leaseUntil) {
        giveUp(state, *service, "token_came_late", now);
        return;
    }
    run.fenceTerm = service->term + 1;
    if (run.cause == promotion_cause::ReplicaPaused) {
        // Naming the present primary changes nothing, but from then on no earlier order is carried
        // out, so that the replicas can be told to receive again.
        run.chosen = run.oldPrimary;
        for (const auto &[id, since] : service->pausedSince)
            run.fenced.insert(id);
        service->pausedSince.clear();
        sendOrder(state, *service, now);
        return;
    }
    enter(run, promotion_phase::Fencing, std::min(now + fencingTime, run.leaseUntil));
    notePromotion(state, note_kind::PromotionStep, *service, "fencing", now);
    fence(state, *service, now);
}

void onTokenHeldElsewhere(engine &state, const std::string &serviceName, core::time_point until,
                          core::time_point now)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::DrawingToken)
        return;
    giveUp(state, *service, "held_by_other", now);
    service->promotion.notBefore = until + startDelay(state, *service);
}

void onPromotionsDisabled(engine &state, const std::string &serviceName, core::time_point now)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::DrawingToken)
        return;
    giveUp(state, *service, "switched_off", now);
    service->promotion.notBefore = now + switchedOffPause;
}

void onPromoteAnswer(engine &state, const std::string &serviceName, promote_outcome outcome,
                     core::time_point now)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::Ordering)
        return;
    promotion_state &run = service->promotion;
    switch (outcome) {
    case promote_outcome::Ordered:
    case promote_outcome::NoAnswer:
        enter(run, promotion_phase::Settling, now + orderTime * 3);
        run.nextProbe = now + settleProbe * 3;
        break;
    case promote_outcome::FencedOff:
        // The order was refused, so it can't be carried out later.
        run.ordered = false;
        giveUp(state, *service, "fenced_off", now);
        break;
    case promote_outcome::Refused:
        enter(run, promotion_phase::Settling, now + settleProbe * 2);
        run.nextProbe = core::noDeadline;
        break;
    }
}

void onControlAnswer(engine &state, const std::string &memberId, const reply &answer,
                     core::time_point sentAt, core::time_point now)
{
    const member_state *member = findMember(state, memberId);
    service_state *service = member ? findService(state, member->entry.service) : nullptr;
    if (service == nullptr || !answer.status)
        return;
    promotion_state &run = service->promotion;
    const member_status &status = *answer.status;
    if (status.leads) {
        learnLeader(state, *service, memberId, status.term, status.received, sentAt, now);
    }
    if (status.pausedTerm == 0) {
        run.toResume.erase(memberId);
        service->pausedSince.erase(memberId);
    } else if (run.phase == promotion_phase::None && !run.toResume.contains(memberId)) {
        service->pausedSince.try_emplace(memberId, now);
        scheduleReplicaCheck(*service, now);
    }
    if (run.phase == promotion_phase::None)
        return;
    // A pause under a term that is not above the member's own is refused and asked for again.
    run.fenceTerm = std::max(run.fenceTerm, status.term + 1);
    if (status.leads && mustNotLead(run)) {
        giveUp(state, *service, "primary_leads", now);
        return;
    }
    if (countsAsReport(run, memberId, status))
        run.reports[memberId] = status;
    if (run.phase == promotion_phase::Settling && status.leads && memberId == run.chosen) {
        finishPromotion(state, *service, now);
        return;
    }
    if (run.phase == promotion_phase::Fencing)
        evaluate(state, *service, now);
}

} // namespace fuchsiagw::proxy
