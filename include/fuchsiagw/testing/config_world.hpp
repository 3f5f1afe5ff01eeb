/// @file
/// @brief Simulation of configuration distribution to instances, with operators and a platform, in
/// virtual time.

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

/// Active faults. Durations are added to the regular delays.
struct world_faults
{
    bool platformDown = false;
    core::duration platformDelay{}; ///< upper bound; drawn for each call
    unsigned lostAnswers = 0; ///< number of next platform changes whose answers are lost
    std::set<std::size_t> cut; ///< instances that reach neither peers nor the platform
    std::set<std::size_t> silent; ///< instances that reach the platform but no peers
    std::optional<core::zone_name>
            cutZone; ///< zone that reaches neither other zones nor the platform
    core::duration messageDelay{}; ///< upper bound; drawn for each message
    unsigned duplicatePercent = 0;
    unsigned lossPercent = 0;
};

/// Injected defects that the checkers must detect.
enum class config_defect : std::uint8_t {
    None,
    Revert, ///< an instance reverts to an earlier version
    ExtraChange, ///< a version contains a change that its note does not list
    NoProof, ///< keys are accepted without a freshness proof
    RepeatedCommit, ///< the platform applies a repeated transaction again
    NoSpread, ///< after the first version no messages arrive and only one instance reads the
              ///< platform
    EarlyAnswer, ///< an operator gets an answer before another instance holds the version
    WrongAnswer, ///< every answer says that the note was applied
};

struct config_world_settings
{
    std::size_t instances = 12;
    std::size_t zones = 3;
    std::uint64_t seed = 1;
    core::duration inZoneDelay = std::chrono::microseconds(300); ///< one way
    core::duration crossZoneDelay = std::chrono::milliseconds(4); ///< one way, between zones
    core::duration platformDelay = std::chrono::milliseconds(5); ///< round trip
    config_defect error = config_defect::None;
};

/// Answers that an operator received for a note.
struct operator_record
{
    core::release_note note;
    std::optional<core::time_point> acceptedAt;
    bool isRefused = false;
    unsigned attempts = 0;
};

/// A committed version.
struct world_commit
{
    core::time_point at;
    core::configuration config;
    std::string noteId;
};

class config_world
{
public:
    explicit config_world(const config_world_settings &settings);

    /// Runs all events until @p end in chronological order.
    void runUntil(core::time_point end);
    void at(core::time_point time, std::function<void()> event);
    [[nodiscard]] core::time_point now() const { return now_; }

    /// Submits a note to an instance; the operator tries further instances until the outcome is
    /// known.
    void submit(const core::release_note &note, std::size_t instance);
    /// Restarts an instance without its state.
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
    /// Called before each request of a submit, with the step of the request.
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
        core::time_point tickAt = core::noDeadline; ///< time of the scheduled tick
        unsigned activeSubmits = 0;
        bool hasUnresolvedOutcome = false;
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
    void performStep(const std::shared_ptr<operation> &run, const core::submit_action &action);
    void finish(const std::shared_ptr<operation> &run);
    void confirm(const std::shared_ptr<operation> &run);
    [[nodiscard]] bool isSpreadStopped() const;
    [[nodiscard]] bool isReachable(std::size_t from, std::size_t to) const;
    [[nodiscard]] core::duration drawDelay(core::duration maxDelay);
    void scheduleForIncarnation(std::size_t index, core::time_point time,
                                std::function<void()> event);

    config_world_settings settings_;
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
