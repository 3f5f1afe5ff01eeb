/// @file
/// @brief Lock-free triple buffer that passes the newest copy of a value between two threads.

#pragma once

#include <array>
#include <atomic>
#include <cstdint>

namespace fuchsiagw::daemon {

/// Single producer, single consumer; both operations are wait-free.
/// Invariant: writeSlot_, readSlot_ and sharedSlot_ index three different slots.
template <typename value>
class snapshot_buffer
{
public:
    /// @brief Makes @p snapshot the newest value.
    /// @complexity that of one copy assignment
    void publish(const value &snapshot)
    {
        slots_[writeSlot_] = snapshot;
        writeSlot_ =
                sharedSlot_.exchange(static_cast<std::uint8_t>(writeSlot_ | unreadFlag)) & slotMask;
    }

    /// @return the newest published value, valid until the next call
    /// @complexity constant
    [[nodiscard]] const value &newest()
    {
        if ((sharedSlot_.load() & unreadFlag) != 0)
            readSlot_ = sharedSlot_.exchange(readSlot_) & slotMask;
        return slots_[readSlot_];
    }

private:
    static constexpr std::uint8_t slotMask = 3;
    static constexpr std::uint8_t unreadFlag = 4; ///< the shared slot was not read yet

    std::array<value, 3> slots_{};
    std::uint8_t writeSlot_ = 0;
    std::uint8_t readSlot_ = 1;
    std::atomic<std::uint8_t> sharedSlot_{ 2 };
};

} // namespace fuchsiagw::daemon
