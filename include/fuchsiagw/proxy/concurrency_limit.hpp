/// @file
/// @brief Limit on the concurrent operations at a member, learnt from the times to its answers.
///
/// A member may slow down long before its slots are used up, and members of a group differ. The
/// limit follows what a member takes without delay: it grows while answers come as fast as with few
/// operations outstanding, and shrinks when they take more than twice as long, or when the member
/// refuses. The decision uses medians, so that a few slow statements do not count, and ignores
/// errors, whose times say nothing about work.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fuchsiagw::proxy {

enum class answer_kind : std::uint8_t {
    Success,
    Busy, ///< the member refused because it is full
    Error, ///< any other error; may come much faster, or later, than an answer to work
};

struct answer_sample
{
    answer_kind kind = answer_kind::Success;
    core::time_point sentAt{};
    std::uint32_t outstanding = 0; ///< statements at the member when it was sent, itself included
};

/// Why a limit has changed.
enum class limit_cause : std::uint8_t {
    None, ///< it has not changed
    Started, ///< the member is new or has started again
    AnswersNormal,
    AnswersSlow,
    MemberBusy,
};

inline constexpr std::array<std::string_view, 5> limitCauseNames{
    "none", "started", "answers_normal", "answers_slow", "member_busy",
};

[[nodiscard]] constexpr std::string_view toString(limit_cause value)
{
    return limitCauseNames.at(static_cast<std::size_t>(value));
}

/// Times of answers in the current window, in microseconds.
struct answer_window
{
    static constexpr std::size_t capacity = 32;

    core::time_point startedAt{};
    std::array<double, capacity> times{};
    std::size_t count = 0; ///< of `times`; later answers of a window are left out
    std::uint32_t mostOutstanding = 0;
    bool sawBusy = false;
    bool sawError = false;
};

/// Invariant: 1 <= limit <= 2 * slots once slots is not 0.
struct concurrency_limit
{
    std::uint32_t slots = 0; ///< as the member reports them; 0: not started
    std::uint64_t startedAtMs = 0; ///< start of the member's process
    double limit = 0;
    double unloadedUs = 0; ///< median time to an answer with few outstanding; 0: unknown
    core::time_point unloadedAt{}; ///< when it was last measured
    double normalUs = 0; ///< slow average of unloadedUs: what is normal for this member
    double recentUs = 0; ///< median time of the latest window
    core::time_point probeUntil{}; ///< few operations are let through until then, to measure
    core::time_point ignoredUntil{}; ///< statements that were sent before give no sample
    answer_window window;
};

/// @brief Starts over if the member is new, has started again or has another number of slots.
/// @return whether it did
bool startLimit(concurrency_limit &state, std::uint32_t slots, std::uint64_t startedAtMs,
                core::time_point now);

/// @brief Records the answer to a statement.
/// @return why the limit has changed, if it has
limit_cause recordAnswer(concurrency_limit &state, const answer_sample &sample,
                         core::time_point now);

/// @brief Discards the statements under way, because this process was slow or suspended: their
/// times would show its own delay.
void discardSamples(concurrency_limit &state, core::time_point now);

/// @return the number of operations that the member may have outstanding now
[[nodiscard]] std::uint32_t currentLimit(const concurrency_limit &state, core::time_point now);

/// @return whether the member takes more than twice its normal time although few operations are
/// outstanding, or less than half of its slots without delay
[[nodiscard]] bool isSlow(const concurrency_limit &state);

} // namespace fuchsiagw::proxy
