/// @file
/// @brief Hands the newest copy of a value from one thread to another without locks.

#pragma once

#include <array>
#include <atomic>
#include <cstdint>

namespace fuchsiagw::daemon {

/// One thread publishes, one thread reads. Neither waits for the other.
/// Invariant: writer_, reader_ and exchange_ name three different slots.
template <typename value>
class snapshot_buffer
{
public:
    /// @brief Makes @p copy the newest value.
    /// @complexity that of an assignment
    void publish(const value &copy)
    {
        slots_[writer_] = copy;
        writer_ = exchange_.exchange(static_cast<std::uint8_t>(writer_ | freshMark)) & slotMask;
    }

    /// @return the newest published value, valid until the next call
    /// @complexity constant
    [[nodiscard]] const value &newest()
    {
        if ((exchange_.load() & freshMark) != 0)
            reader_ = exchange_.exchange(reader_) & slotMask;
        return slots_[reader_];
    }

private:
    static constexpr std::uint8_t slotMask = 3;
    static constexpr std::uint8_t freshMark = 4; ///< the slot in exchange was not read yet

    std::array<value, 3> slots_{};
    std::uint8_t writer_ = 0;
    std::uint8_t reader_ = 1;
    std::atomic<std::uint8_t> exchange_{ 2 };
};

} // namespace fuchsiagw::daemon
