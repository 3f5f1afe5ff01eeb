/// @file
/// @brief Learns how many concurrent operations a member takes without delay.

#include <fuchsiagw/proxy/concurrency_limit.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace fuchsiagw::proxy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds minWindow{ 100 };
constexpr std::size_t minWindowAnswers = 10;
/// A member with little traffic is judged by what came in this time.
constexpr milliseconds maxWindow{ 1'000 };
constexpr double slowFactor = 2; // of the unloaded time: the limit shrinks
constexpr double normalFactor = 1.3; // of the unloaded time: the limit may grow
constexpr double shrinkFactor = 0.8;
constexpr double busyShrinkFactor = 0.9;
constexpr double maxLimitPerSlot = 2;
/// The unloaded time is measured while at most this share of the limit, or of the slots if they are
/// fewer, is in use.
constexpr double unloadedShare = 0.5;
constexpr double unloadedWeight = 0.3; // of the newest window
constexpr double probeWeight = 0.7; // of a probe, as probes are rare
/// Without a measurement for this long, few operations are let through for a moment: the member may
/// have become slower or faster at any load.
constexpr milliseconds probeInterval{ 2'000 };
/// Before the limit shrinks because of slow answers, the unloaded time is measured again unless it
/// is younger than this: a member that is slow at any load does not get faster by fewer operations.
constexpr milliseconds freshProbe{ 500 };
constexpr milliseconds maxProbe{ 400 };
constexpr std::size_t probeAnswers = 5;
constexpr double normalHalfLifeSeconds = 10;

double medianOf(answer_window &window)
{
    const auto middle = window.times.begin() + static_cast<std::ptrdiff_t>(window.count / 2);
    const auto end = window.times.begin() + static_cast<std::ptrdiff_t>(window.count);
    std::nth_element(window.times.begin(), middle, end);
    return *middle;
}

std::uint32_t unloadedLimit(const concurrency_limit &state)
{
    const double inUse = std::min<double>(state.slots, state.limit);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(inUse * unloadedShare));
}

void recordUnloaded(concurrency_limit &state, double medianUs, double share, core::time_point now)
{
    const bool isFirst = state.unloadedUs <= 0;
    state.unloadedUs =
            isFirst ? medianUs : state.unloadedUs + share * (medianUs - state.unloadedUs);
    const std::chrono::duration<double> elapsed = now - state.unloadedAt;
    const double weight = 1 - std::exp2(-elapsed.count() / normalHalfLifeSeconds);
    state.normalUs =
            isFirst ? medianUs : state.normalUs + weight * (state.unloadedUs - state.normalUs);
    state.unloadedAt = now;
}

limit_cause changeLimit(concurrency_limit &state, double limit, limit_cause cause)
{
    const double bounded = std::clamp<double>(limit, 1, state.slots * maxLimitPerSlot);
    if (bounded == state.limit)
        return limit_cause::None;
    state.limit = bounded;
    return cause;
}

void startProbe(concurrency_limit &state, core::time_point now)
{
    state.probeUntil = now + maxProbe;
    // What was sent before would be measured as part of the probe.
    state.ignoredUntil = now;
}

limit_cause judge(concurrency_limit &state, const answer_window &window, core::time_point now)
{
    if (window.sawBusy)
        return changeLimit(state, state.limit * busyShrinkFactor, limit_cause::MemberBusy);
    if (state.unloadedUs <= 0 || window.count == 0)
        return limit_cause::None;
    if (state.recentUs > slowFactor * state.unloadedUs) {
        if (now - state.unloadedAt <= freshProbe)
            return changeLimit(state, state.limit * shrinkFactor, limit_cause::AnswersSlow);
        startProbe(state, now);
        return limit_cause::None;
    }
    const bool wasUsed = window.mostOutstanding >= static_cast<std::uint32_t>(state.limit);
    const bool isNormal = state.recentUs <= normalFactor * state.unloadedUs && !window.sawError;
    if (wasUsed && isNormal)
        return changeLimit(state, state.limit + 1, limit_cause::AnswersNormal);
    return limit_cause::None;
}

/// Ends the window: learns the unloaded time from it, and judges the limit by it.
limit_cause closeWindow(concurrency_limit &state, core::time_point now)
{
    answer_window window = state.window;
    state.window = {};
    state.window.startedAt = now;
    if (window.count > 0)
        state.recentUs = medianOf(window);
    const bool wasProbing = std::exchange(state.probeUntil, core::time_point{}) > now;
    const bool isUnloaded =
            window.mostOutstanding <= unloadedLimit(state) && window.count > 0 && !window.sawBusy;
    if (isUnloaded)
        recordUnloaded(state, state.recentUs, wasProbing ? probeWeight : unloadedWeight, now);
    else if (now - state.unloadedAt >= probeInterval)
        startProbe(state, now);
    return judge(state, window, now);
}

bool isWindowComplete(const concurrency_limit &state, core::time_point now)
{
    const answer_window &window = state.window;
    const core::duration length = now - window.startedAt;
    if (now < state.probeUntil)
        return window.count >= probeAnswers;
    const bool hasEnough = window.count >= minWindowAnswers || window.sawBusy;
    return (length >= minWindow && hasEnough) || length >= maxWindow;
}

} // namespace

bool startLimit(concurrency_limit &state, std::uint32_t slots, std::uint64_t startedAtMs,
                core::time_point now)
{
    const std::uint32_t counted = std::max<std::uint32_t>(1, slots);
    if (state.slots == counted && state.startedAtMs == startedAtMs)
        return false;
    state = {};
    state.slots = counted;
    state.startedAtMs = startedAtMs;
    state.limit = counted;
    state.unloadedAt = now;
    state.window.startedAt = now;
    return true;
}

limit_cause recordAnswer(concurrency_limit &state, const answer_sample &sample,
                         core::time_point now)
{
    if (sample.sentAt < state.ignoredUntil)
        return limit_cause::None;
    answer_window &window = state.window;
    window.mostOutstanding = std::max(window.mostOutstanding, sample.outstanding);
    window.sawBusy = window.sawBusy || sample.kind == answer_kind::Busy;
    window.sawError = window.sawError || sample.kind == answer_kind::Error;
    if (sample.kind == answer_kind::Success && window.count < answer_window::capacity)
        window.times[window.count++] = static_cast<double>((now - sample.sentAt).count());
    return isWindowComplete(state, now) ? closeWindow(state, now) : limit_cause::None;
}

void discardSamples(concurrency_limit &state, core::time_point now)
{
    state.ignoredUntil = now;
    state.window = {};
    state.window.startedAt = now;
}

std::uint32_t currentLimit(const concurrency_limit &state, core::time_point now)
{
    const auto limit = static_cast<std::uint32_t>(state.limit);
    return now < state.probeUntil ? std::min(limit, unloadedLimit(state)) : limit;
}

bool isSlow(const concurrency_limit &state)
{
    const bool isBelowNormal =
            state.unloadedUs > 0 && state.unloadedUs > slowFactor * state.normalUs;
    return isBelowNormal || state.limit * 2 < state.slots;
}

} // namespace fuchsiagw::proxy
