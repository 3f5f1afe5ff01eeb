/// @file
/// @brief A bounded single-producer single-consumer queue between two threads.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <functional>
#include <utility>

namespace fuchsiagw::net {

/// One thread pushes messages; the thread that runs the consumer's context handles them.
/// Invariant: messages are handled in the order in which they were pushed.
/// The channel must outlive its consumer's context.
template <typename message>
class channel
{
public:
    using handler = std::function<void(message &)>;

    /// @param consumer context whose thread calls @p handle
    /// @param capacity number of messages that can wait
    channel(boost::asio::io_context &consumer, std::size_t capacity, handler handle)
        : consumer_(consumer)
        , queue_(capacity)
        , handle_(std::move(handle))
    { }

    /// @brief Queues a message without blocking.
    /// @return false if the queue is full; the message is then unchanged
    /// @complexity constant
    [[nodiscard]] bool push(message &&value)
    {
        const slot pushed{ std::move(value) };
        if (!queue_.push(pushed)) {
            value = std::move(pushed.value);
            return false;
        }
        if (!scheduled_.exchange(true, std::memory_order_acq_rel))
            boost::asio::post(consumer_, [this] { drain(); });
        return true;
    }

private:
    /// spsc_queue requires copyable elements. Copying a slot moves its message out of the source,
    /// which is safe because each slot is read once.
    struct slot
    {
        mutable message value;

        slot() = default;
        explicit slot(message &&from)
            : value(std::move(from))
        { }
        slot(const slot &other)
            : value(std::move(other.value))
        { }
        slot &operator=(const slot &other) // NOLINT(bugprone-unhandled-self-assignment)
        {
            value = std::move(other.value);
            return *this;
        }
    };

    void drain()
    {
        // This has to be an exchange: either it reads the flag that push() set, and the message of
        // that push() is visible here, or it precedes push(), which then posts drain() again. With
        // a plain store a message could stay in the queue without a scheduled drain().
        scheduled_.exchange(false, std::memory_order_acq_rel);
        // Bounded, so that one busy channel does not starve other handlers of the context.
        constexpr std::size_t messagesPerTurn = 256;
        for (std::size_t i = 0; i < messagesPerTurn; ++i) {
            if (!queue_.consume_one([this](const slot &each) { handle_(each.value); }))
                return;
        }
        if (!scheduled_.exchange(true, std::memory_order_acq_rel))
            boost::asio::post(consumer_, [this] { drain(); });
    }

    boost::asio::io_context &consumer_;
    boost::lockfree::spsc_queue<slot> queue_;
    handler handle_;
    std::atomic<bool> scheduled_{ false };
};

} // namespace fuchsiagw::net
