/// @file
/// @brief A database group and its owners in virtual time, with faults and checkers.
///
/// Members are plain structs that follow the rules of section 6.1 of the design. The owners run the
/// decisions of `core`: routing, exchanges, acknowledgement and failover.

#pragma once

#include <fuchsiagw/core/acknowledgement.hpp>
#include <fuchsiagw/core/exchange.hpp>
#include <fuchsiagw/core/failover.hpp>
#include <fuchsiagw/core/group_view.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagw::testing {

/// Deliberate faults in the decisions, by which the checkers are checked.
enum class sabotage : std::uint8_t {
    None,
    AcknowledgeAtOnce, ///< without a majority, while promotions count on one
    PromoteShortestLog,
    NeverPromote,
    ReportNotRun, ///< an unknown outcome is reported as `not_run`
    RetryWithoutKey, ///< a lost write is sent again although the member can't recognize it
};

struct fake_settings
{
    std::uint64_t seed = 1;
    std::size_t members = 3;
    std::size_t owners = 3;
    core::duration delay = std::chrono::microseconds(3500); ///< one way
    core::duration jitter = std::chrono::microseconds(500); ///< added at random
    core::duration replicaLag = core::duration::zero(); ///< of every replica
    core::duration writeInterval = std::chrono::milliseconds(20); ///< of each owner
    core::duration writeDeadline = std::chrono::seconds(2);
    core::duration lease = std::chrono::seconds(2); ///< only under the lease policy
    bool writesHaveKeys = false;
    core::acknowledgement_policy policy = core::acknowledgement_policy::Majority;
    sabotage fault = sabotage::None;
};

struct fake_entry
{
    core::term_number term = 0;
    std::uint64_t write = 0;
    core::time_point at; ///< when the first primary appended it
};

struct fake_member
{
    core::member_id id;
    core::term_number accepted = 0;
    bool leads = false;
    core::term_number followTerm = 0;
    std::size_t followed = 0;
    std::vector<fake_entry> log;
    std::set<core::request_id> seen; ///< requests delivered
    bool isUp = true;
    bool refuses = false; ///< while down: connections are refused instead of lost
    bool leaving = false;
    core::duration lag = core::duration::zero();
    core::duration answerDelay = core::duration::zero(); ///< before each answer
};

struct fake_write
{
    std::uint64_t number = 0;
    core::exchange way;
    core::time_point created;
    core::time_point ranAt;
    core::log_position position;
};

struct fake_owner
{
    core::group_view view;
    core::failover_state failover;
    core::pending_writes pending;
    core::random_engine random;
    std::map<std::uint64_t, fake_write> writes; ///< not answered yet
    bool isPaused = false;
    std::vector<std::function<void()>> held; ///< deliveries during a pause
};

/// What the checkers found. Invariant: a run is correct exactly if `problems` is empty.
struct fake_findings
{
    std::vector<std::string> problems;
    std::vector<core::duration> writeDelays; ///< from the primary's answer to acknowledgement
    std::uint64_t acknowledged = 0;
    std::uint64_t lost = 0; ///< acknowledged but not in the last primary's log
    std::uint64_t promotions = 0;
    core::duration longestGap = core::duration::zero(); ///< see fake_group::longestGap
    core::duration failoverGap =
            core::duration::zero(); ///< from markPrimaryLoss() to an acknowledged write
};

class fake_group
{
public:
    explicit fake_group(const fake_settings &settings);

    /// Runs until @p end, counted from the start.
    void runUntil(core::duration end);
    /// Calls @p what at a time counted from the start.
    void at(core::duration when, std::function<void()> what);
    /// Calls @p what once, at the next action of this kind by any owner.
    void onStep(core::failover_step step, std::function<void()> what);
    /// Calls @p what once, at the next grant of a term or at the next answer to lead.
    void onGrant(std::function<void()> what) { grantHook = std::move(what); }
    void onLeadAnswer(std::function<void()> what) { leadHook = std::move(what); }
    void onAcknowledged(std::function<void()> what) { acknowledgedHook = std::move(what); }

    [[nodiscard]] std::size_t primary() const; ///< the one that leads the highest term
    [[nodiscard]] core::time_point now() const { return clock; }
    void markPrimaryLoss(); ///< the gap of fake_findings::failoverGap starts here

    void cut(std::size_t left, std::size_t right, bool isCut); ///< see ownerNode()
    [[nodiscard]] std::size_t ownerNode(std::size_t owner) const { return members.size() + owner; }
    void stop(std::size_t member, bool refuses);
    void start(std::size_t member);
    void pause(std::size_t owner);
    void resume(std::size_t owner);

    /// Runs the checks at the end of a run. The gap bound is 5 s of section 1.5.
    [[nodiscard]] fake_findings finish();

    std::vector<fake_member> members;
    std::vector<fake_owner> owners;
    double loss = 0; ///< probability for each message
    double duplication = 0;

private:
    struct event
    {
        core::time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    /// A `/wait` request that a member holds.
    struct held_wait
    {
        std::size_t owner = 0;
        core::log_position position;
        core::time_point asked;
        core::time_point until;
        core::time_point deadline;
    };

    void later(core::duration after, std::function<void()> what);
    void ownerLater(std::size_t owner, core::duration after, std::function<void()> what);
    void send(std::size_t from, std::size_t to, const std::function<void()> &what);
    void deliver(std::size_t to, const std::function<void()> &what);
    [[nodiscard]] bool isCut(std::size_t left, std::size_t right) const;
    void report(const std::string &problem);

    [[nodiscard]] core::member_status statusOf(std::size_t member) const;
    [[nodiscard]] core::log_position lastOf(const fake_member &member) const;
    void ask(std::size_t owner, std::size_t member, const std::function<void()> &atMember,
             std::function<void()> refused);
    void answer(std::size_t member, std::size_t owner, std::function<void()> atOwner);

    void tick(std::size_t owner);
    void perform(std::size_t owner, const core::failover_actions &actions);
    void performOne(std::size_t owner, const core::failover_action &action);
    void probe(std::size_t owner, const core::failover_action &action);
    void lead(std::size_t owner, const core::failover_action &action);
    void openWaits(std::size_t owner);
    void serveWaits(std::size_t member);
    void onWaitAnswer(const held_wait &wait, const core::member_status &status);
    void settle(std::size_t owner);
    void acknowledge(const fake_write &write);
    void checkLog(std::size_t member, const std::string &when);

    void newWrite(std::size_t owner);
    void act(std::size_t owner, std::uint64_t number, const core::exchange_action &action);
    void route(std::size_t owner, std::uint64_t number);
    void sendWrite(std::size_t owner, fake_write &write, std::size_t member);
    core::execute_answer execute(std::size_t member, const core::request_id &id,
                                 core::term_number term, std::uint64_t number, bool hasKey);
    void replicate(std::size_t from);
    void append(std::size_t to, std::size_t from, core::term_number term, std::size_t previous,
                core::term_number previousTerm, const std::vector<fake_entry> &entries);
    void catchUp(std::size_t member);
    void renewLease(std::size_t owner);
    [[nodiscard]] bool isServiceable() const;
    void measureGap();

    fake_settings config;
    core::random_engine random;
    core::time_point clock{};
    std::priority_queue<event> events;
    std::uint64_t nextOrder = 0;
    std::uint64_t nextWrite = 1;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::multimap<core::failover_step, std::function<void()>> stepHooks;
    std::function<void()> grantHook;
    std::function<void()> leadHook;
    std::function<void()> acknowledgedHook;
    std::map<std::uint64_t, core::log_position> acknowledgedWrites;
    std::map<core::log_index, std::uint64_t> acknowledgedIndexes;
    std::map<std::uint64_t, int> runs; ///< executions of each write
    std::set<std::uint64_t> answeredNotRun;
    std::set<core::term_number> ledTerms;
    std::vector<std::vector<held_wait>> waits; ///< of each member
    core::time_point leaseUntil = core::time_point::min(); ///< the platform's table
    std::optional<core::time_point> lossAt;
    core::duration gap =
            core::duration::zero(); ///< serviceable time since the last acknowledgement
    fake_findings findings;
};

} // namespace fuchsiagw::testing
