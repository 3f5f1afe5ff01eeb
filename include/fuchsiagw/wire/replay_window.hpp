/// @file
/// @brief Recognises messages that came before, by the sender's sequence numbers.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/time.hpp>

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace fuchsiagw::wire {

/// Sequence numbers of one sender. A number that is older than the window counts as a replay.
class sequence_window
{
public:
    /// Numbers that may arrive out of order. At 100 messages/s this is more than 40 s.
    static constexpr std::size_t size = 4096;

    /// @brief Takes a number, which starts at 1.
    /// @return false if it came before or is older than the window
    /// @complexity linear in the numbers that were skipped, at most size
    [[nodiscard]] bool accept(std::uint64_t sequence);

private:
    std::uint64_t newest_ = 0;
    std::bitset<size> seen_; ///< bit n % size stands for number n; only the last `size` numbers
};

/// One window for each sender's incarnation. A restarted sender has a new one.
class replay_window
{
public:
    /// More than all daemons of a deployment with those replaced lately.
    static constexpr std::size_t maxSenders = 4096;
    /// A sender silent for so long makes room for a new one; its network copies have died out.
    static constexpr core::duration forgetAfter = std::chrono::seconds(60);

    /// @brief Takes the number of a message whose MAC was right.
    /// @return false if it is a replay, or if maxSenders others were all heard within forgetAfter
    /// @complexity constant; linear in the senders when it makes room
    [[nodiscard]] bool accept(core::incarnation_id sender, std::uint64_t sequence,
                              core::time_point now);

    [[nodiscard]] std::size_t senders() const { return senders_.size(); }

private:
    struct sender_state
    {
        sequence_window window;
        core::time_point heardAt;
    };

    std::unordered_map<core::incarnation_id, sender_state> senders_;
    core::time_point nextEvictionAt_ = core::time_point::min(); ///< no room before

    [[nodiscard]] bool evictIdleSenders(core::time_point now);
};

} // namespace fuchsiagw::wire
