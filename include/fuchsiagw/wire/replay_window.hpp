/// @file
/// @brief Replay protection by the sequence numbers of each sender.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/time.hpp>

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace fuchsiagw::wire {

/// Sliding window over the sequence numbers of one sender. A number below the window counts as a
/// replay.
class sequence_window
{
public:
    /// Size of the window, more than 40 s of reordering at 100 messages/s.
    static constexpr std::size_t size = 4096;

    /// @brief Records a sequence number; they start at 1.
    /// @return false if the number was recorded before or is below the window
    /// @complexity linear in the skipped numbers, at most size
    [[nodiscard]] bool accept(std::uint64_t sequence);

private:
    std::uint64_t newest_ = 0;
    std::bitset<size> seen_; ///< bit n % size is set if number n of the last `size` was received
};

/// One window per incarnation of a sender. A restarted sender has a new incarnation.
class replay_window
{
public:
    /// Exceeds the number of daemons of a deployment, including recently replaced ones.
    static constexpr std::size_t maxSenders = 4096;
    /// Idle time after which a sender may be evicted for a new one: no copies of its messages are
    /// in the network any more.
    static constexpr core::duration senderIdleTimeout = std::chrono::seconds(60);

    /// @brief Records the sequence number of a message whose MAC was verified.
    /// @return false for a replay, or if the sender is new and maxSenders others sent messages
    /// within senderIdleTimeout
    /// @complexity constant; linear in the senders when idle ones are evicted
    [[nodiscard]] bool accept(core::incarnation_id sender, std::uint64_t sequence,
                              core::time_point now);

    [[nodiscard]] std::size_t senderCount() const { return senders_.size(); }

private:
    struct sender_state
    {
        sequence_window window;
        core::time_point lastReceivedAt;
    };

    std::unordered_map<core::incarnation_id, sender_state> senders_;
    /// Earliest time at which a sender may be evicted.
    core::time_point nextEvictionAt_ = core::time_point::min();

    /// @return whether there is room for a new sender
    [[nodiscard]] bool evictIdleSenders(core::time_point now);
};

} // namespace fuchsiagw::wire
