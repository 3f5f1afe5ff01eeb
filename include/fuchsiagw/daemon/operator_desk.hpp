/// @file
/// @brief Carries out what operators ask for on the admin port.

#pragma once

#include <fuchsiagw/core/config_store.hpp>
#include <fuchsiagw/core/gateway.hpp>
#include <fuchsiagw/daemon/admin_message.hpp>
#include <fuchsiagw/daemon/cluster.hpp>
#include <fuchsiagw/wire/vouch.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace fuchsiagw::daemon {

class log_sink;

/// What an operator's command was, for the log.
enum class operator_action : std::uint8_t {
    Submit,
    Promote,
    Vouch,
};

inline constexpr std::array<std::string_view, 3> operatorActionNames{ "submit", "promote",
                                                                      "vouch" };

enum class operator_outcome : std::uint8_t {
    Done,
    Refused,
    Unknown, ///< it may still take effect
};

inline constexpr std::array<std::string_view, 3> operatorOutcomeNames{ "done", "refused",
                                                                       "unknown" };

struct operator_desk_outputs
{
    std::function<void(admin_result &&)> answer;
    std::function<void(platform::platform_operation, platform_handler)> toPlatform;
    std::function<core::gateway_turn()> turn; ///< its actions are carried out after the call
};

/// The submit under way.
struct running_submit
{
    std::uint64_t ticket = 0;
    core::submit_state state;
    core::submit_action action; ///< under way, or to be started at its notBefore
    std::uint64_t attempt = 0; ///< number of the request under way; 0: not started yet
    core::time_point answerBy; ///< then the request counts as not answered
};

/// Part of the decisions; lives on their thread.
/// Invariant: every request gets exactly one answer, at its deadline at the latest.
class operator_desk
{
public:
    /// Submits that may wait while another one is under way.
    static constexpr std::size_t maxQueuedSubmits = 16;

    operator_desk(core::gateway &gateway, cluster &instances, const settings &values, log_sink &log,
                  operator_desk_outputs outputs);

    /// @brief Takes in a request whose secret was right.
    void onRequest(admin_request &request, core::time_point now);

    /// @brief Does what is due. Call it several times a second.
    /// @complexity linear in the requests that wait for an answer
    void tick(core::time_point now);

    /// @return whether no request waits for its answer
    [[nodiscard]] bool isIdle() const { return !running_ && late_.empty(); }

private:
    struct queued_submit
    {
        std::uint64_t ticket = 0;
        core::release_note note;
        core::time_point deadline;
    };

    /// The answer to a request that nothing else has answered by its deadline.
    struct late_answer
    {
        core::time_point deadline;
        core::error_kind error = core::error_kind::PlatformUnavailable;
        std::string problem;
    };

    struct waiting_promotion
    {
        std::uint64_t ticket = 0;
        core::group_id group;
        core::term_number before = 0; ///< highest term when the promotion was ordered
        core::time_point deadline;
    };

    void answer(std::uint64_t ticket, wire::admin_answer &&body);
    void submit(admin_request &request, core::time_point now);
    void startNextSubmit(core::time_point now);
    void startRequest(core::time_point now);
    void take(const core::platform_answer &result, core::time_point now);
    void finishSubmit(core::time_point now);
    void tickSubmit(core::time_point now);
    void readBack(core::time_point now);
    void takeRow(const platform::platform_result &result, core::time_point now);
    void updateUnsettled();
    void noteStatus(const admin_request &request, core::time_point now);
    void promote(const admin_request &request, core::time_point now);
    void tickPromotions(core::time_point now);
    void vouch(const admin_request &request, core::time_point now);
    [[nodiscard]] std::vector<wire::group_report> groups(core::time_point now) const;
    [[nodiscard]] wire::status_report status(core::time_point now) const;

    core::gateway &gateway_;
    cluster &cluster_;
    const settings &settings_;
    log_sink &log_;
    operator_desk_outputs outputs_;
    wire::vouch_challenges challenges_;
    std::optional<running_submit> running_;
    std::deque<queued_submit> queue_; ///< empty unless a submit is under way
    std::uint64_t nextAttempt_ = 1;
    bool hasOpenOutcome_ = false; ///< a submit ended unsettled; the platform was not read since
    core::time_point nextReadBack_;
    std::deque<waiting_promotion> promotions_;
    std::map<std::uint64_t, late_answer> late_; ///< by ticket
};

} // namespace fuchsiagw::daemon
