/// @file
/// @brief Tests of the choice of a member for a statement and of the check of its answer.

#include <fuchsiagw/core/routing.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{ 10s };

/// Primary "a" in zone 1, replicas "b" in zone 1 and "c" in zone 2, all at {2, 5}.
group_view makeView()
{
    group_view view;
    group_settings settings;
    settings.slots = 2;
    settings.members[{ "a" }].zone = { "z1" };
    settings.members[{ "b" }].zone = { "z1" };
    settings.members[{ "c" }].zone = { "z2" };
    applySettings(view, { "g" }, settings);
    for (const char *id : { "a", "b", "c" }) {
        const auto role = *id == 'a' ? member_role::Primary : member_role::Replica;
        observeStatus(view, { { id }, { "g" }, role, 2, { 2, 5 }, { 2, 5 }, false }, now, now);
    }
    return view;
}

} // namespace

TEST_GROUP(routing)
{
    group_view view = makeView();
    routing_request request;
    random_engine random{ 1 };

    void setup() override
    {
        request.maxAge = 500ms;
        request.zone = { "z1" };
    }

    route_decision route(duration later = duration::zero())
    {
        return routeStatement(view, request, now + later, random);
    }

    /// Routes the request and checks the chosen member and the reason.
    void expect(const char *member, route_reason reason)
    {
        const route_decision decision = route();
        CHECK_TRUE(decision.member == member_id{ member });
        STRCMP_EQUAL(std::string(toString(reason)).c_str(),
                     std::string(toString(decision.reason)).c_str());
        CHECK_TRUE(decision.fromReplica == (*member != 'a'));
        UNSIGNED_LONGS_EQUAL(2, decision.term);
    }
};

// Guards against stale reads and lost writes: writes, begins, reads without a maximum age and reads
// with an unusable session must never be sent to a replica.
TEST(routing, onlyReadsWithAMaximumAgeUseReplicas)
{
    expect("b", route_reason::OwnZone);
    request.isSessionUnusable = true;
    expect("a", route_reason::SessionUnusable);
    request.isSessionUnusable = false;
    for (const auto kind : { statement_kind::Write, statement_kind::Begin }) {
        request.kind = kind;
        expect("a", route_reason::PrimaryRequired);
    }
    request.kind = statement_kind::Read;
    request.primaryOnly = true;
    expect("a", route_reason::PrimaryRequired);
    request.primaryOnly = false;
    request.maxAge.reset();
    expect("a", route_reason::PrimaryRequired);
}

// Guards against sending a read to a replica that is leaving, backed off, unknown, behind or under
// another term.
TEST(routing, skipsIneligibleReplicas)
{
    member_view &near = view.members[{ "b" }];
    const member_view before = near;
    const auto expectRejected = [&](rejection_reason reason) {
        const route_decision decision = route();
        CHECK_TRUE(decision.member == member_id{ "c" });
        CHECK_TRUE(decision.candidates.at(1).reason == reason);
        near = before;
    };
    near.leaving = true;
    expectRejected(rejection_reason::Leaving);
    near.backoffState.until = now + 1us;
    expectRejected(rejection_reason::BackedOff);
    near.catchUpPosition = log_position{ 2, 5 };
    expectRejected(rejection_reason::FarBehind);
    near.acceptedTerm = 1;
    expectRejected(rejection_reason::OtherTerm);
    near.lastHeardAt = time_point::min();
    expectRejected(rejection_reason::NeverHeard);
    near.applied = { 2, 4 };
    expectRejected(rejection_reason::AgeUnknown);
    request.minPosition = { 2, 5 };
    near.applied = { 2, 4 };
    expectRejected(rejection_reason::PositionBehind);
}

// Guards against preferring a replica of the own zone without a free slot to a free replica in
// another zone.
TEST(routing, prefersZoneThenLoadThenOpenConnections)
{
    view.members[{ "b" }].inFlight = 1;
    expect("b", route_reason::OwnZone);
    view.members[{ "b" }].inFlight = 2;
    expect("c", route_reason::LessLoaded);
    view.members[{ "c" }].inFlight = 3;
    expect("b", route_reason::OwnZone);
    request.zone = { "z3" };
    view.members[{ "b" }].inFlight = view.members[{ "c" }].inFlight = 0;
    view.members[{ "c" }].openConnections = 1;
    expect("c", route_reason::OtherZone);
}

// Guards against reads that fail although the primary can serve them, and against choosing a
// primary that is leaving.
TEST(routing, fallsBackToThePrimaryIfItIsAvailable)
{
    CHECK_TRUE(route(501ms).reason == route_reason::NoReplicaFits);
    CHECK_TRUE(route(501ms).member == member_id{ "a" });
    view.members[{ "a" }].leaving = true;
    CHECK_TRUE(route(501ms).reason == route_reason::NoMember);
    request.kind = statement_kind::Write;
    CHECK_TRUE(route().reason == route_reason::NoPrimary);
    CHECK_FALSE(route().member.has_value());
}

// Guards against a log line that omits why the other candidates were not chosen.
TEST(routing, describesTheDecisionInOneLine)
{
    view.members[{ "c" }].leaving = true;
    STRCMP_EQUAL("member=b reason=own_zone term=2 passed=a:is_primary,c:leaving",
                 describe(route()).c_str());
}

// Guards against returning stale data or the answer to another request. Routing relies on estimates
// of a member's position and age, so the answer itself must be checked.
TEST(routing, checksPositionAgeAndIdOfTheAnswer)
{
    execute_answer answer;
    answer.id = { 1, 1 };
    answer.applied = { 2, 5 };
    const auto check = [&](bool fromReplica, duration later) {
        return checkAnswer(view, request, { 1, 1 }, answer, fromReplica, now + later);
    };
    CHECK_TRUE(check(true, 500ms) == answer_verdict::Accept);
    CHECK_TRUE(check(true, 501ms) == answer_verdict::AskPrimaryAge);
    CHECK_TRUE(check(false, 501ms) == answer_verdict::Accept);
    request.minPosition = { 2, 6 };
    CHECK_TRUE(check(true, 0ms) == answer_verdict::AskPrimaryPosition);
    CHECK_TRUE(check(false, 0ms) == answer_verdict::AskPrimaryPosition);
    answer.id = { 1, 2 };
    CHECK_TRUE(check(true, 0ms) == answer_verdict::Drop);
}
