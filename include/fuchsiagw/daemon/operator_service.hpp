/// @file
/// @brief Handles operators' requests from the admin port.

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

/// Kind of an operator's command in log lines.
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
    Unknown, ///< the command may still take effect
};

inline constexpr std::array<std::string_view, 3> operatorOutcomeNames{ "done", "refused",
                                                                       "unknown" };

struct operator_service_outputs
{
    std::function<void(admin_result &&)> answer;
    std::function<void(platform::platform_operation, platform_handler)> toPlatform;
    /// Opens a turn of the gateway; its actions are performed after the current call.
    std::function<core::gateway_turn()> turn;
};

/// The submit that is being processed.
struct active_submit
{
    std::uint64_t ticket = 0;
    core::submit_state state;
    core::submit_action action; ///< current step; its request is sent at notBefore
    std::uint64_t attempt = 0; ///< number of the pending platform request; 0: not sent yet
    core::time_point answerDeadline; ///< after this time the platform request counts as unanswered
};

/// Every function must be called on the thread of gateway_driver.
/// Invariant: every request gets exactly one answer, no later than at its deadline.
class operator_service
{
public:
    /// Limit of submits that wait while another one is processed.
    static constexpr std::size_t maxQueuedSubmits = 16;

    operator_service(core::gateway &gateway, cluster &instances, const settings &values,
                     log_sink &log, operator_service_outputs outputs);

    /// @brief Starts to handle an authenticated request.
    void onRequest(admin_request &request, core::time_point now);

    /// @brief Sends due requests to the platform and answers requests whose deadline has passed. It
    /// must be called several times per second.
    /// @complexity linear in the requests that wait for an answer
    void tick(core::time_point now);

    /// @return whether no request waits for an answer
    [[nodiscard]] bool isIdle() const { return !activeSubmit_ && timeoutAnswers_.empty(); }

private:
    struct queued_submit
    {
        std::uint64_t ticket = 0;
        core::release_note note;
        core::time_point deadline;
    };

    /// Error answer to a request that has no other answer at its deadline.
    struct timeout_answer
    {
        core::time_point deadline;
        core::error_kind error = core::error_kind::PlatformUnavailable;
        std::string problem;
    };

    struct pending_promotion
    {
        std::uint64_t ticket = 0;
        core::group_id group;
        core::term_number previousTerm = 0; ///< highest term when the promotion was requested
        core::time_point deadline;
    };

    void answer(std::uint64_t ticket, wire::admin_answer &&body);
    void submit(admin_request &request, core::time_point now);
    void startNextSubmit(core::time_point now);
    void startPlatformRequest(core::time_point now);
    void onPlatformAnswer(const core::platform_answer &result, core::time_point now);
    void finishSubmit(core::time_point now);
    void tickSubmit(core::time_point now);
    void rereadConfigurationRow(core::time_point now);
    void onConfigurationRow(const platform::platform_result &result, core::time_point now);
    void updateSubmitState();
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
    operator_service_outputs outputs_;
    wire::vouch_challenges challenges_;
    std::optional<active_submit> activeSubmit_;
    std::deque<queued_submit> queuedSubmits_; ///< empty unless a submit is active
    std::uint64_t nextAttempt_ = 1;
    bool hasUnknownOutcome_ =
            false; ///< a submit ended with an unknown outcome that is not resolved yet
    core::time_point nextRereadAt_;
    std::deque<pending_promotion> promotions_;
    std::map<std::uint64_t, timeout_answer> timeoutAnswers_; ///< by ticket
};

} // namespace fuchsiagw::daemon
