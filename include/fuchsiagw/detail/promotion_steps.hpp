/// @file
/// @brief Internal functions and constants that the source files of promotions share.

#pragma once

#include <fuchsiagw/detail/engine_steps.hpp>

#include <string>
#include <string_view>

namespace fuchsiagw::proxy {

/// Shorter than the lease, so that no other daemon acts before this one has ended its attempt.
inline constexpr milliseconds fencingTimeout{ 2'000 };
/// An accepted promotion takes effect within this time.
inline constexpr milliseconds promotionEffectTimeout{ 1'500 };
inline constexpr milliseconds probeInterval{ 40 };
inline constexpr milliseconds orderTimeout{ 700 };
inline constexpr milliseconds refusedOrderDelay{ 120 };

/// @return how long this daemon waits before an attempt, so that one daemon acts first
[[nodiscard]] core::duration startDelay(engine &state, service_state &service);
void logPromotion(engine &state, note_kind kind, const service_state &service,
                  std::string_view reason, core::time_point now);
void enterPhase(promotion_state &attempt, promotion_phase phase, core::time_point until);
/// @brief Ends an attempt and resumes the replicas that it paused, unless an ordered promotion may
/// still take effect.
void abortAttempt(engine &state, service_state &service, std::string_view reason,
                  core::time_point now);
/// @brief Records the order to promote the chosen member, which receives from then on; it is sent
/// once it is recorded.
void orderPromotion(engine &state, service_state &service, core::time_point now);
/// @brief Sends the order that the store has recorded.
void sendOrder(engine &state, service_state &service, core::time_point now);
/// @brief Records that an order got no answer: the platform may carry it out at any later time.
void noteUnanswered(engine &state, service_state &service, core::time_point now);
/// @brief Orders a promotion if the reports allow a choice.
void tryToOrderPromotion(engine &state, service_state &service, core::time_point now);
/// @brief Ends an attempt whose chosen member leads.
void finishPromotion(engine &state, service_state &service, core::time_point now);

/// @brief Applies what the store says of earlier orders at the start of an attempt.
/// @return false if the attempt has ended with that
[[nodiscard]] bool applyOpenOrders(engine &state, service_state &service, const open_orders &orders,
                                   core::time_point now);
/// @brief Orders the member of an open order again, or gives it up if it lacks commits.
void stepCompletion(engine &state, service_state &service, core::time_point now);
/// @brief Gives up the completion of an order: its member is not running, or lacks commits.
void leaveCompletion(engine &state, service_state &service, std::string_view reason,
                     core::time_point now);
/// @brief Fences the primary that an open order would replace, from @p from on.
void fencePrimary(service_state &service, core::time_point from);
/// @brief Records that a member has stepped down, if it led the newest known term.
void recordDeposed(service_state &service, const std::string &member, core::term_number term,
                   core::log_position received, core::time_point now);
/// @brief Takes over what another daemon knows of a primary that has stepped down.
void learnDeposed(engine &state, service_state &service, const leader_report &log,
                  core::time_point now);
/// @return service_state::deposed, which is set, for a message to another daemon
[[nodiscard]] leader_report deposedReport(const service_state &service);
/// @return what is known of a member that has stepped down; nullptr if it may lead, or another one
/// may have led since
[[nodiscard]] const deposed_primary *findDeposed(const service_state &service,
                                                 const std::string &member, core::time_point now);
/// @brief Bounds the choice of a successor by the log of the old primary, if it has stepped down.
/// @return whether it has
bool applyDeposed(service_state &service, core::time_point now);
/// @brief Repeats the request to the peers to order the old primary to step down, at intervals.
void repeatStepDownRequest(engine &state, service_state &service, core::time_point now);
/// @brief Asks the peers that reach the old primary to order it to step down, before the replicas
/// are paused: what it acknowledges in between might be at a replica that no daemon knows.
/// @return whether there are such peers
bool askPeersForStepDown(engine &state, service_state &service, core::time_point now);
/// @brief Tells the daemon that has asked for it that the primary has stepped down.
void answerStepDownRequest(engine &state, service_state &service, const std::string &member,
                           const member_status &status, core::time_point now);
/// @brief Orders a fenced primary to step down, at intervals.
void stepFence(engine &state, service_state &service, core::time_point now);
/// @return the primary that has stepped down beside an open order; empty if there is none. What
/// only its log has was not acknowledged to a caller.
[[nodiscard]] std::string deposedPrimary(const service_state &service);
/// @brief Renews the pauses on which open orders rest while no attempt does so.
void stepGuard(engine &state, service_state &service, core::time_point now);
/// @brief Tells other daemons of an open order, at intervals.
void stepOrderNotice(engine &state, service_state &service, core::time_point now);
/// @brief Starts or ends the renewal of the pauses after an attempt.
void startGuard(service_state &service, core::time_point now);
void stopGuard(service_state &service);
/// @brief Renews the pauses of another daemon's open orders beside it: that daemon may not reach a
/// replica that restarts.
/// @param version of the store, as of which the orders are open
/// @param until end of the other daemon's lease
void helpGuard(engine &state, service_state &service, const open_orders &orders,
               std::uint64_t version, core::time_point until, core::time_point now);

/// @brief Starts a repair: promoting the present primary changes nothing, but the new fencing token
/// invalidates all earlier orders, so that the replicas can safely be resumed.
void startRepair(engine &state, service_state &service, core::time_point now);
/// @brief Asks the primary again, or ends a repair that takes too long.
void stepRepair(engine &state, service_state &service, core::time_point now);
/// @brief Orders the repair once the primary has shown, under the token, that it leads. The order
/// would bring back a primary that was replaced, without the commits of its successor.
void onRepairAnswer(engine &state, service_state &service, const std::string &member,
                    const member_status &status, core::time_point sentAt, core::time_point now);

} // namespace fuchsiagw::proxy
