/// @file
/// @brief What the relay of a member tells the other daemons of the member's load.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace fuchsiagw::proxy {

struct concurrency_limit;
struct relay_pool;

enum class load_state : std::uint8_t {
    Normal,
    Full, ///< operations wait for the member
    Slow, ///< see isSlow()
};

inline constexpr std::array<std::string_view, 3> loadStateNames{ "normal", "full", "slow" };

[[nodiscard]] constexpr std::string_view toString(load_state value)
{
    return loadStateNames.at(static_cast<std::size_t>(value));
}

struct member_load
{
    load_state state = load_state::Normal;
    std::uint32_t limit = 0; ///< of concurrent operations
    std::int64_t waitUs = 0; ///< expected wait of a read before it is sent to the member
    std::int64_t answerUs = 0; ///< median time to an answer

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(state, limit, waitUs, answerUs);
    }
};

/// Progress of the announcements of one member's load.
struct load_announcement
{
    member_load announced;
    core::time_point announcedAt{};
    load_state measured = load_state::Normal; ///< at the latest measurement
    core::time_point measuredSince{}; ///< when it became so
    core::time_point waitingSince = core::noDeadline; ///< operations wait for the member since then
};

/// A load that is not repeated is forgotten after this time.
inline constexpr std::chrono::milliseconds loadLifetime{ 2'500 };

/// @brief Determines the present load of a member.
[[nodiscard]] member_load measureLoad(load_announcement &progress, const concurrency_limit &limit,
                                      const relay_pool &pool, core::time_point now);

/// @brief Decides whether the other daemons have to be told now; then records that they are. They
/// are told of each change of the state that lasts, at most once a second, and each second while
/// the state is not normal.
[[nodiscard]] bool takeAnnouncement(load_announcement &progress, const member_load &load,
                                    core::time_point now);

} // namespace fuchsiagw::proxy
