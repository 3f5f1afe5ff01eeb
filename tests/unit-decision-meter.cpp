/// @file
/// @brief Tests of the metrics for failover gaps and wrongful refusals.

#include <fuchsiagw/daemon/decision_meter.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using namespace fuchsiagw::core;
using namespace fuchsiagw::daemon;
using namespace std::chrono_literals;

TEST_GROUP(decision_meter)
{
    const time_point start{ 100s };
    gateway state;
    decision_meter meter{ state };
    group_owner *owner = nullptr;

    void setup() override
    {
        owner = &state.owners[{ "g" }];
        owner->group = { "g" };
        owner->isMonitoringMembers = true;
        owner->view.members[{ "a" }].lastHeardAt = start;
        owner->view.members[{ "b" }].lastHeardAt = start;
        notice("a", 256, start);
        write(256, start);
    }

    void notice(const char *primary, term_number term, time_point at)
    {
        const owner_notice changed{ owner_event::PrimaryChanged, { primary }, term, {}, 0 };
        meter.onAction(group_action{ { "g" }, changed }, true, at);
    }

    void write(term_number term, time_point at)
    {
        caller_reply reply;
        reply.kind = statement_kind::Write;
        reply.group = { "g" };
        reply.answer.position = { term, 1 };
        meter.onAction(reply, true, at);
    }

    void addWaitingWrite()
    {
        owner->statements[1].request.kind = statement_kind::Write;
    }

    const delay_histogram &gaps() const
    {
        return meter.counts().value(delay::FailoverGap);
    }
};

// Guards against a gap that is too short because it starts when the loss is detected instead of at
// the primary's last answer.
TEST(decision_meter, gapLastsFromTheLastAnswerToTheFirstWrite)
{
    LONGS_EQUAL(0, gaps().count());
    addWaitingWrite();
    notice("", 512, start + 300ms);
    notice("b", 512, start + 400ms);
    write(256, start + 410ms); // late confirmation under the old term
    LONGS_EQUAL(0, gaps().count());
    write(512, start + 450ms);
    write(512, start + 460ms);
    LONGS_EQUAL(1, gaps().count());
    DOUBLES_EQUAL(0.45, gaps().sumSeconds(), 1e-9);
}

// Guards against a gap of an hour for an idle group: the first write after the failover arrives
// long after the new primary is available.
TEST(decision_meter, gapLeavesOutTheTimeWithoutAnyWrite)
{
    notice("b", 512, start + 400ms);
    write(512, start + 3600s);
    DOUBLES_EQUAL(0.4, gaps().sumSeconds(), 1e-9);
}

// Guards against a gap that is too short because a second loss restarts it while a write has been
// waiting since the first loss.
TEST(decision_meter, gapSpansASecondLossWhileAWriteWaits)
{
    addWaitingWrite();
    notice("b", 512, start + 400ms);
    owner->view.members[{ "b" }].lastHeardAt = start + 400ms;
    notice("", 768, start + 700ms);
    notice("a", 768, start + 800ms);
    write(768, start + 900ms);
    LONGS_EQUAL(1, gaps().count());
    DOUBLES_EQUAL(0.9, gaps().sumSeconds(), 1e-9);
}

// Guards against wrong gaps from an instance that does not monitor the group and therefore has no
// time of the primary's last answer.
TEST(decision_meter, countsNoGapWithoutWatching)
{
    owner->isMonitoringMembers = false;
    notice("b", 512, start + 400ms);
    write(512, start + 500ms);
    LONGS_EQUAL(0, gaps().count());
}

// Guards against wrong classification of refusals: RateLimited counted as wrongful, or KeyUnproven
// during a platform outage not counted as caused by the platform.
TEST(decision_meter, countsWrongfulRefusals)
{
    caller_reply reply;
    reply.workspace = { "w" };
    for (const error_kind each : { error_kind::RateLimited, error_kind::UpstreamFailed,
                                   error_kind::NoPrimary, error_kind::KeyUnproven }) {
        reply.answer.error = each;
        meter.onAction(reply, false, start);
    }
    LONGS_EQUAL(2, meter.counts().value(counter::WrongfulRefusals));
    LONGS_EQUAL(1, meter.counts().value(counter::WrongfulRefusalsPlatform));
    LONGS_EQUAL(2, meter.counts().workspaces.at({ "w" }).wrongfullyRefused);
}
