/// @file
/// @brief Simulation of a database group and its owners in virtual time, with faults and checkers.
///
/// Members are plain structs that follow the member rules of section 6.1 of the design. The owners
/// run the decision code of `core`: routing, exchanges, acknowledgement and failover.

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

/// Injected defects in the decisions of the owners, which the checkers must detect.
enum class failover_defect : std::uint8_t {
    None,
    AcknowledgeAtOnce, ///< writes are acknowledged without a majority, which promotions rely on
    PromoteShortestLog,
    NeverPromote,
    ReportNotRun, ///< an unknown outcome is reported as `not_run`
    RetryWithoutKey, ///< a lost write is retried although the member cannot detect duplicates
};

struct fake_settings
{
    std::uint64_t seed = 1;
    std::size_t members = 3;
    std::size_t owners = 3;
    core::duration delay = std::chrono::microseconds(3500); ///< one way
    core::duration jitter = std::chrono::microseconds(500); ///< added at random
    core::duration replicaLag = core::duration::zero(); ///< replication lag of every replica
    core::duration writeInterval =
            std::chrono::milliseconds(20); ///< interval of the writes of each owner
    core::duration writeDeadline = std::chrono::seconds(2);
    core::duration lease =
            std::chrono::seconds(2); ///< lease duration; used only by the lease policy
    bool writesHaveKeys = false;
    core::acknowledgement_policy policy = core::acknowledgement_policy::Majority;
    failover_defect fault = failover_defect::None;
};

struct fake_entry
{
    core::term_number term = 0;
    std::uint64_t write = 0;
    core::time_point at; ///< when the first primary appended the entry
};

struct fake_member
{
    core::member_id id;
    core::term_number accepted = 0;
    bool leads = false;
    core::term_number followTerm = 0;
    std::size_t followedMember = 0;
    std::vector<fake_entry> log;
    std::set<core::request_id> receivedRequests; ///< ids of the received requests
    bool isUp = true;
    bool refuses = false; ///< if down: connections are refused instead of timing out
    bool leaving = false;
    core::duration lag = core::duration::zero();
    core::duration answerDelay = core::duration::zero(); ///< delay before each answer
};

struct fake_write
{
    std::uint64_t number = 0;
    core::exchange exchangeState;
    core::time_point createdAt;
    core::time_point ranAt;
    core::log_position position;
};

struct fake_owner
{
    core::group_view view;
    core::failover_state failover;
    core::pending_writes pending;
    core::random_engine random;
    std::map<std::uint64_t, fake_write> writes; ///< writes that are not answered yet
    bool isPaused = false;
    std::vector<std::function<void()>> deferredEvents; ///< events that arrived during a pause
};

/// Results of the checkers. Invariant: a run is correct if and only if `problems` is empty.
struct fake_findings
{
    std::vector<std::string> problems;
    std::vector<core::duration>
            writeDelays; ///< from the answer of the primary to the acknowledgement
    std::uint64_t acknowledged = 0;
    std::uint64_t lost = 0; ///< acknowledged writes that are missing in the log of the last primary
    std::uint64_t promotions = 0;
    core::duration longestGap = core::duration::zero(); ///< longest time without an acknowledged
                                                        ///< write, see fake_group::gap
    core::duration failoverGap =
            core::duration::zero(); ///< from markPrimaryLoss() to the next acknowledged write
};

class fake_group
{
public:
    explicit fake_group(const fake_settings &settings);

    /// Runs until @p end, which is relative to the start.
    void runUntil(core::duration end);
    /// Calls @p callback at the time @p when after the start.
    void at(core::duration when, std::function<void()> callback);
    /// Calls @p callback once, at the next action of any owner with this step.
    void onStep(core::failover_step step, std::function<void()> callback);
    /// These hooks call @p callback once: at the next grant of a term, the next answer to a lead
    /// request, or the next acknowledged write.
    void onGrant(std::function<void()> callback) { grantHook = std::move(callback); }
    void onLeadAnswer(std::function<void()> callback) { leadHook = std::move(callback); }
    void onAcknowledged(std::function<void()> callback) { acknowledgedHook = std::move(callback); }

    [[nodiscard]] std::size_t primary() const; ///< the member that leads the highest term
    [[nodiscard]] core::time_point now() const { return clock; }
    void markPrimaryLoss(); ///< starts fake_findings::failoverGap

    /// Cuts or restores the link between two nodes: member indexes or results of ownerNode().
    void cut(std::size_t left, std::size_t right, bool isCut);
    [[nodiscard]] std::size_t ownerNode(std::size_t owner) const { return members.size() + owner; }
    void stop(std::size_t member, bool refuses);
    void start(std::size_t member);
    void pause(std::size_t owner);
    void resume(std::size_t owner);

    /// Runs the checks at the end of a run. No write gap may exceed 5 s (section 1.5 of the
    /// design).
    [[nodiscard]] fake_findings finish();

    std::vector<fake_member> members;
    std::vector<fake_owner> owners;
    double loss = 0; ///< loss probability of each message
    double duplication = 0; ///< duplication probability of each message

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
    struct pending_wait
    {
        std::size_t owner = 0;
        core::log_position position;
        core::time_point sentAt;
        core::time_point until;
        core::time_point deadline;
    };

    void schedule(core::duration after, std::function<void()> callback);
    void scheduleAtOwner(std::size_t owner, core::duration after, std::function<void()> callback);
    void send(std::size_t from, std::size_t to, const std::function<void()> &callback);
    void deliver(std::size_t to, const std::function<void()> &callback);
    [[nodiscard]] bool isCut(std::size_t left, std::size_t right) const;
    void report(const std::string &problem);

    [[nodiscard]] core::member_status statusOf(std::size_t member) const;
    [[nodiscard]] core::log_position lastPosition(const fake_member &member) const;
    void sendRequest(std::size_t owner, std::size_t member, const std::function<void()> &atMember,
                     std::function<void()> refused);
    void sendAnswer(std::size_t member, std::size_t owner, std::function<void()> atOwner);

    void tick(std::size_t owner);
    void perform(std::size_t owner, const core::failover_actions &actions);
    void performAction(std::size_t owner, const core::failover_action &action);
    void probe(std::size_t owner, const core::failover_action &action);
    void lead(std::size_t owner, const core::failover_action &action);
    void openWaits(std::size_t owner);
    void serveWaits(std::size_t member);
    void onWaitAnswer(const pending_wait &wait, const core::member_status &status);
    void settle(std::size_t owner);
    void acknowledge(const fake_write &write);
    void checkLog(std::size_t member, const std::string &when);

    void startWrite(std::size_t owner);
    void performExchangeAction(std::size_t owner, std::uint64_t number,
                               const core::exchange_action &action);
    void route(std::size_t owner, std::uint64_t number);
    void sendWrite(std::size_t owner, fake_write &write, std::size_t member);
    core::execute_answer execute(std::size_t member, const core::request_id &id,
                                 core::term_number term, std::uint64_t number, bool hasKey);
    void replicate(std::size_t from);
    void append(std::size_t to, std::size_t from, core::term_number term, std::size_t previous,
                core::term_number previousTerm, const std::vector<fake_entry> &entries);
    void catchUp(std::size_t member);
    void renewLease(std::size_t owner);
    /// @return whether some running owner reaches a member that could lead a majority
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
    std::map<std::uint64_t, int> runs; ///< number of executions of each write
    std::set<std::uint64_t> answeredNotRun;
    std::set<core::term_number> ledTerms;
    std::vector<std::vector<pending_wait>> waits; ///< by member
    core::time_point leaseUntil = core::time_point::min(); ///< lease in the table of the platform
    std::optional<core::time_point> primaryLostAt;
    core::duration gap = core::duration::zero(); ///< since the last acknowledgement; only time
                                                 ///< while isServiceable()
    fake_findings findings;
};

} // namespace fuchsiagw::testing
