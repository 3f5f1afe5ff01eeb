/// @file
/// @brief Instances, operators and a platform in virtual time, for the spread of configurations.

#pragma once

#include <fuchsiagw/core/config_spread.hpp>
#include <fuchsiagw/core/config_store.hpp>
#include <fuchsiagw/core/key_check.hpp>
#include <fuchsiagw/core/random.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagw::testing {

/// Faults that are in effect now. Times are delays added to the usual ones.
struct world_faults
{
    bool platformDown = false;
    core::duration platformDelay{}; ///< greatest; each answer draws its own
    unsigned lostAnswers = 0; ///< next changes of the platform whose answers are lost
    std::set<std::size_t> cut; ///< instances without peers and platform
    std::set<std::size_t> silent; ///< instances without peers, but with the platform
    std::optional<core::zone_name> cutZone; ///< talks only within itself
    core::duration messageDelay{}; ///< greatest
    unsigned duplicatePercent = 0;
    unsigned lossPercent = 0;
};

/// Deliberate errors of the product, to show that the checkers see them.
enum class sabotage : std::uint8_t {
    None,
    Revert, ///< an instance goes back to the first version
    ExtraChange, ///< a version contains a change that its note does not list
    NoProof, ///< keys are accepted without a freshness proof
    RepeatedCommit, ///< the platform applies the same transaction again
    NoSpread, ///< after the first version no message is sent and only one reads the platform
    EarlyAnswer, ///< an operator is told before another instance holds the version
    WrongAnswer, ///< every operator is told that the note was applied
};

struct world_settings
{
    std::size_t instances = 12;
    std::size_t zones = 3;
    std::uint64_t seed = 1;
    core::duration zoneDelay = std::chrono::microseconds(300); ///< one way
    core::duration crossDelay = std::chrono::milliseconds(4); ///< one way, between zones
    core::duration platformDelay = std::chrono::milliseconds(5); ///< there and back
    sabotage error = sabotage::None;
};

/// What an operator was told, and what the platform has.
struct operator_record
{
    core::release_note note;
    std::optional<core::time_point> acceptedAt;
    bool isRefused = false;
    unsigned attempts = 0;
};

/// One committed version.
struct world_commit
{
    core::time_point at;
    core::configuration config;
    std::string noteId;
};

class config_world
{
public:
    explicit config_world(const world_settings &settings);

    /// Runs until @p end, with every event in its order.
    void runUntil(core::time_point end);
    void at(core::time_point time, std::function<void()> event);
    [[nodiscard]] core::time_point now() const { return now_; }

    /// An operator hands a note to an instance, and to others until the outcome is known.
    void submit(const core::release_note &note, std::size_t instance);
    /// Loses the state of an instance; it starts again at once.
    void restart(std::size_t instance);

    [[nodiscard]] std::size_t size() const { return instances_.size(); }
    [[nodiscard]] core::configuration_version versionOf(std::size_t instance) const;
    [[nodiscard]] core::key_decision check(std::size_t instance, const core::key_hash &hash) const;
    [[nodiscard]] core::duration proofAge(std::size_t instance) const;
    [[nodiscard]] const std::vector<world_commit> &commits() const { return commits_; }
    [[nodiscard]] const std::map<std::string, operator_record> &operators() const
    {
        return operators_;
    }

    world_faults faults;
    /// Called before each request of a submit, with its step; also for take-ins, see the tests.
    std::function<void(core::submit_step, std::size_t instance)> onSubmitStep;
    std::function<void(std::size_t instance, core::configuration_version)> onVersionInstalled;
    std::function<void(std::size_t instance, core::configuration_version)> onBodyArrived;
    /// Called for each message between instances.
    std::function<void(std::size_t from, const core::spread_message &)> onMessage;

private:
    struct instance
    {
        core::tree_node self;
        std::uint64_t incarnation = 0;
        core::spread_state spread;
        core::freshness proofs;
        core::config_store store;
        core::key_index index;
        core::time_point tickAt = core::noDeadline; ///< of the scheduled tick
        unsigned openSubmits = 0;
        bool hasOpenOutcome = false;
    };
    struct operation;
    using platform_event = std::function<void(const core::platform_answer &)>;

    void start(std::size_t index);
    void tick(std::size_t index);
    void schedule(std::size_t index);
    void perform(std::size_t index, const std::vector<core::spread_action> &actions);
    void deliver(std::size_t from, std::size_t to, const core::spread_message &message);
    void fetch(std::size_t index, const std::optional<core::fetch_source> &source);
    void installVersion(std::size_t index, const core::fetch_source &source,
                        const std::string &body);
    void callPlatform(std::size_t index, const core::submit_action &action, platform_event done);
    core::platform_answer apply(const core::submit_action &action);
    void step(const std::shared_ptr<operation> &run, const core::submit_action &action);
    void finish(const std::shared_ptr<operation> &run);
    void confirm(const std::shared_ptr<operation> &run);
    [[nodiscard]] bool isSpreadStopped() const;
    [[nodiscard]] bool isReachable(std::size_t from, std::size_t to) const;
    [[nodiscard]] core::duration draw(core::duration greatest);
    void onIncarnation(std::size_t index, core::time_point time, std::function<void()> event);

    world_settings settings_;
    core::random_engine random_;
    core::time_point now_{ std::chrono::seconds(100) };
    std::multimap<core::time_point, std::function<void()>> events_;
    std::vector<instance> instances_;
    std::vector<core::tree_node> live_;
    std::map<core::instance_id, std::size_t> indexOf_;
    std::map<std::string, std::pair<std::uint64_t, std::string>> rows_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, bool> transactions_;
    std::vector<world_commit> commits_;
    std::map<std::string, operator_record> operators_;
};

} // namespace fuchsiagw::testing
