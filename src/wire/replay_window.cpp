/// @file
/// @brief Sliding windows of sequence numbers.

#include <fuchsiagw/wire/replay_window.hpp>

#include <algorithm>

namespace fuchsiagw::wire {

bool sequence_window::accept(std::uint64_t sequence)
{
    if (sequence == 0)
        return false;
    if (sequence > newest_) {
        if (sequence - newest_ >= size) {
            seen_.reset();
        } else {
            for (std::uint64_t skipped = newest_ + 1; skipped < sequence; ++skipped)
                seen_.reset(skipped % size);
        }
        newest_ = sequence;
        seen_.set(sequence % size);
        return true;
    }
    if (newest_ - sequence >= size || seen_.test(sequence % size))
        return false;
    seen_.set(sequence % size);
    return true;
}

bool replay_window::accept(core::incarnation_id sender, std::uint64_t sequence,
                           core::time_point now)
{
    auto found = senders_.find(sender);
    if (found == senders_.end()) {
        if (senders_.size() >= maxSenders && !evictIdleSenders(now))
            return false;
        found = senders_.emplace(sender, sender_state{ {}, now }).first;
    }
    found->second.lastReceivedAt = now;
    return found->second.window.accept(sequence);
}

bool replay_window::evictIdleSenders(core::time_point now)
{
    if (now < nextEvictionAt_)
        return false;
    core::time_point oldest = core::noDeadline;
    std::erase_if(senders_, [&oldest, now](const auto &entry) {
        const core::time_point lastReceivedAt = entry.second.lastReceivedAt;
        if (lastReceivedAt + senderIdleTimeout <= now)
            return true;
        oldest = std::min(oldest, lastReceivedAt);
        return false;
    });
    if (senders_.size() < maxSenders)
        return true;
    nextEvictionAt_ = oldest + senderIdleTimeout;
    return false;
}

} // namespace fuchsiagw::wire
