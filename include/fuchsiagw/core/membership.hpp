/// @file
/// @brief Membership: the state of the other entry instances as this instance knows it.
///
/// There are two sources: the platform's list of instances, which lags, and the messages of the
/// instances themselves. The state in a recent message takes precedence over the list. An instance
/// is suspected only if it sends nothing although it is expected to send regularly, as neighbours
/// in the tree are, or if it did not answer a request.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/platform_protocol.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

/// State that an instance announces in its messages.
enum class sender_state : std::uint8_t {
    Live,
    Leaving, ///< accepts no new work
    Gone, ///< sent in the last message before the process ends
};

inline constexpr std::array<std::string_view, 3> senderStateNames{ "live", "leaving", "gone" };

/// State of an instance as this instance knows it.
enum class peer_state : std::uint8_t {
    Live,
    Suspected, ///< sends or answers nothing; not used until its next message
    Leaving, ///< accepts no new work
    Gone,
};

inline constexpr std::array<std::string_view, 4> peerStateNames{ "live", "suspected", "leaving",
                                                                 "gone" };

[[nodiscard]] constexpr std::string_view toString(peer_state state)
{
    return peerStateNames.at(static_cast<std::size_t>(state));
}

/// Timeouts and intervals of the membership.
struct membership_times
{
    /// Neighbours send a message each second. Two lost messages and the latency between zones must
    /// not lead to a suspicion.
    duration suspicionTimeout = std::chrono::milliseconds(2'500);
    /// Time after a message during which the list can't remove the sender.
    duration heardValidity = std::chrono::seconds(10);
    /// A message of another incarnation may be a delayed one of a dead predecessor. The sender
    /// replaces the known incarnation if the known one has sent nothing for this time, or with its
    /// second message.
    duration incarnationTimeout = std::chrono::seconds(1);
    duration initialProbeInterval = std::chrono::seconds(1); ///< doubled with each probe
    duration maxProbeInterval = std::chrono::seconds(16);
    /// Time for which an announced Gone is final. An instance that is listed beyond it may have
    /// restarted without a message that reached this instance, and is probed.
    duration departureTimeout = std::chrono::seconds(30);
    /// Time after which an instance that is gone and not listed is removed.
    duration goneRetention = std::chrono::minutes(1);
};

/// Sender of a message, as the message describes it.
struct message_sender
{
    incarnation_id incarnation = 0;
    instance_id instance;
    zone_name zone;
    std::string address; ///< address for peers: IP address and port
    sender_state state = sender_state::Live;
};

/// Invariant: `state` is determined by the other members and the time of the last event.
struct known_instance
{
    instance_id instance;
    zone_name zone;
    std::string address;
    incarnation_id incarnation = 0; ///< 0: listed, but no message received
    peer_state state = peer_state::Live;

    bool isListed = false;
    bool isListedLeaving = false;
    time_point heardAt = time_point::min(); ///< time of this incarnation's last message
    sender_state announcedState = sender_state::Live; ///< in this incarnation's messages
    /// End of departureTimeout, if Gone was announced.
    time_point departureDeadline = time_point::min();
    bool isExpected = false; ///< the instance should send messages regularly
    time_point expectedSince = time_point::min();
    bool isSuspected = false;
    incarnation_id successorCandidate = 0; ///< another incarnation; sent one message since heardAt
    time_point nextProbeAt = time_point::min();
    duration probeInterval{ 0 };
    time_point goneSince = noDeadline;
};

/// State of all other instances. Invariant: the own instance is not in `instances`.
struct membership
{
    instance_id self;
    zone_name zone;
    membership_times times;
    std::map<instance_id, known_instance> instances;
    std::map<incarnation_id, instance_id> byIncarnation; ///< index of `instances`
};

enum class membership_event : std::uint8_t {
    BecameLive,
    BecameSuspected,
    BecameLeaving,
    BecameGone,
    Restarted, ///< `predecessor` is dead; precedes the event of the new state, if that changed
};

struct membership_change
{
    membership_event event = membership_event::BecameLive;
    instance_id instance;
    incarnation_id incarnation = 0;
    incarnation_id predecessor = 0; ///< set for Restarted only
};

/// @brief Applies a copy of the platform's list. Upstreams in the list are ignored.
/// @return the changes of state
/// @complexity O(n log n) in the size of the list
std::vector<membership_change> onInstanceList(membership &state, const instance_list &list,
                                              time_point now);

/// @brief Records a message whose MAC and sequence number were valid. A sender without an instance
/// name is identified by its incarnation, see onHeardByIncarnation().
/// @return the changes of state; empty if the message is a delayed one of a dead incarnation
/// @complexity logarithmic in the number of instances
std::vector<membership_change> onHeard(membership &state, const message_sender &sender,
                                       time_point now);

/// @brief Records a message that identifies its sender only by the incarnation in its header. If
/// findIncarnation() does not find that incarnation, nothing changes and the sender should be
/// probed.
/// @return the changes of state
/// @complexity logarithmic in the number of instances
std::vector<membership_change> onHeardByIncarnation(membership &state, incarnation_id incarnation,
                                                    sender_state announcedState, time_point now);

/// @brief Records that an instance did not answer a request or can't be reached.
/// @return the changes of state
/// @complexity logarithmic in the number of instances
std::vector<membership_change> onNoAnswer(membership &state, const instance_id &instance,
                                          time_point now);

/// @brief Sets the instances that should send messages regularly: the neighbours in the tree.
/// @complexity O(n log n) in the number of instances
void setExpected(membership &state, const std::set<instance_id> &expected, time_point now);

/// @brief Applies timeouts. Call it several times a second.
/// @return the changes of state
/// @complexity linear in the number of instances
std::vector<membership_change> tickMembership(membership &state, time_point now);

/// @brief Lists the instances to probe and records that they are probed now: suspected instances,
/// and those of the own zone whose incarnation is unknown.
/// @param maxCount largest number of instances
/// @complexity linear in the number of instances
[[nodiscard]] std::vector<instance_id> dueProbes(membership &state, std::size_t maxCount,
                                                 time_point now);

/// @return the instance, nullptr if it is unknown
[[nodiscard]] const known_instance *findInstance(const membership &state,
                                                 const instance_id &instance);

/// @return the instance whose current incarnation is the given one, nullptr if there is none
[[nodiscard]] const known_instance *findIncarnation(const membership &state,
                                                    incarnation_id incarnation);

/// @return the instances in one of the given states, ordered by id
/// @complexity linear in the number of instances
[[nodiscard]] std::vector<const known_instance *> instancesIn(const membership &state,
                                                              std::initializer_list<peer_state> of);

} // namespace fuchsiagw::core
