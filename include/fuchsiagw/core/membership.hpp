/// @file
/// @brief What an instance believes about the other entry instances.
///
/// There are two sources: the platform's list, which lags, and what the instances say themselves.
/// What an instance said lately prevails over the list. Silence counts only for instances that are
/// expected to speak, which are the neighbours in the tree, and for those that did not answer.

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

/// What an instance says about itself.
enum class sender_state : std::uint8_t {
    Live,
    Leaving, ///< gets no new work
    Gone, ///< last message before the process ends
};

inline constexpr std::array<std::string_view, 3> senderStateNames{ "live", "leaving", "gone" };

/// What is believed about an instance.
enum class peer_state : std::uint8_t {
    Live,
    Suspected, ///< silent; not used until it is heard again
    Leaving, ///< gets no new work
    Gone,
};

inline constexpr std::array<std::string_view, 4> peerStateNames{ "live", "suspected", "leaving",
                                                                 "gone" };

[[nodiscard]] constexpr std::string_view toString(peer_state state)
{
    return peerStateNames.at(static_cast<std::size_t>(state));
}

struct membership_times
{
    /// Neighbours speak each second; two lost messages and the delay between zones are normal.
    duration suspicionTimeout = std::chrono::milliseconds(2'500);
    /// The list can't remove an instance that was heard within this time.
    duration heardValidity = std::chrono::seconds(10);
    /// A message of another incarnation may be a late one of a dead predecessor. It is believed if
    /// the known incarnation was not heard for this time, or at the second message.
    duration incarnationTimeout = std::chrono::seconds(1);
    duration initialProbeInterval = std::chrono::seconds(1); ///< doubles with each probe
    duration maxProbeInterval = std::chrono::seconds(16);
    /// An instance that said goodbye but is still listed may have been started anew unheard.
    duration departureTimeout = std::chrono::seconds(30);
    duration goneRetention = std::chrono::minutes(1); ///< an instance that is gone and unlisted
};

/// The sender of a message, as the message says.
struct message_sender
{
    incarnation_id incarnation = 0;
    instance_id instance;
    zone_name zone;
    std::string address; ///< peer address, IP number and port
    sender_state state = sender_state::Live;
};

/// Invariant: `state` follows from the other members and the time of the last event.
struct known_instance
{
    instance_id instance;
    zone_name zone;
    std::string address;
    incarnation_id incarnation = 0; ///< 0: listed, but never heard
    peer_state state = peer_state::Live;

    bool isListed = false;
    bool isListedLeaving = false;
    time_point heardAt = time_point::min(); ///< of this incarnation
    sender_state announcedState = sender_state::Live; ///< by this incarnation
    time_point departureDeadline = time_point::min(); ///< if it said that it is gone
    bool isExpected = false; ///< it should speak regularly
    time_point expectedSince = time_point::min();
    bool isSuspected = false;
    incarnation_id successorCandidate = 0; ///< another incarnation, heard once since heardAt
    time_point nextProbeAt = time_point::min();
    duration probeInterval{ 0 };
    time_point goneSince = noDeadline;
};

/// Invariant: the own instance is not in `instances`.
struct membership
{
    instance_id self;
    zone_name zone;
    membership_times times;
    std::map<instance_id, known_instance> instances;
    std::map<incarnation_id, instance_id> byIncarnation; ///< of those in `instances`
};

enum class membership_event : std::uint8_t {
    BecameLive,
    BecameSuspected,
    BecameLeaving,
    BecameGone,
    Restarted, ///< `predecessor` is dead; comes before the event of the new state, if that changed
};

struct membership_change
{
    membership_event event = membership_event::BecameLive;
    instance_id instance;
    incarnation_id incarnation = 0;
    incarnation_id predecessor = 0; ///< for Restarted
};

/// @brief Takes in a copy of the platform's list. Upstreams in it are ignored.
/// @return what changed
/// @complexity O(n log n) in the size of the list
std::vector<membership_change> onInstanceList(membership &state, const instance_list &list,
                                              time_point now);

/// @brief Takes in that a message came, whose MAC and sequence number were right.
/// A sender without an instance name is found by its incarnation; see onHeardByIncarnation().
/// @return what changed; nothing if the message is a late one of a dead incarnation
/// @complexity logarithmic in the number of instances
std::vector<membership_change> onHeard(membership &state, const message_sender &sender,
                                       time_point now);

/// @brief Takes in that a message came which does not name its sender; the header's incarnation
/// does. Nothing happens if findIncarnation() does not know it: the sender should be probed.
/// @complexity logarithmic in the number of instances
std::vector<membership_change> onHeardByIncarnation(membership &state, incarnation_id incarnation,
                                                    sender_state announcedState, time_point now);

/// @brief Takes in that an instance did not answer a question or can't be reached.
/// @complexity logarithmic in the number of instances
std::vector<membership_change> onNoAnswer(membership &state, const instance_id &instance,
                                          time_point now);

/// @brief Sets which instances should speak regularly: the neighbours in the tree.
/// @complexity O(n log n) in the number of instances
void setExpected(membership &state, const std::set<instance_id> &expected, time_point now);

/// @brief Applies the time. Call it several times a second.
/// @complexity linear in the number of instances
std::vector<membership_change> tickMembership(membership &state, time_point now);

/// @brief Lists instances to ask for a sign of life and notes that they are asked: suspected ones,
/// and those of the own zone whose incarnation is not known.
/// @param maxCount largest number of instances
/// @complexity linear in the number of instances
[[nodiscard]] std::vector<instance_id> dueProbes(membership &state, std::size_t maxCount,
                                                 time_point now);

/// @return the instance, nullptr if it is not known
[[nodiscard]] const known_instance *findInstance(const membership &state,
                                                 const instance_id &instance);

/// @return the instance whose current incarnation is the given one, nullptr if there is none
[[nodiscard]] const known_instance *findIncarnation(const membership &state,
                                                    incarnation_id incarnation);

/// @brief Lists instances by state, ordered by id.
/// @complexity linear in the number of instances
[[nodiscard]] std::vector<const known_instance *> instancesIn(const membership &state,
                                                              std::initializer_list<peer_state> of);

} // namespace fuchsiagw::core
