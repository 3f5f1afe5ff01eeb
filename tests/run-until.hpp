/// @file
/// @brief Runs an I/O context of a test until a condition holds.

#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace fuchsiagw::testing {

/// @return whether the condition held within the limit
template <typename condition>
bool runUntil(boost::asio::io_context &context, const condition &isMet,
              std::chrono::milliseconds limit = std::chrono::seconds(3))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!isMet() && std::chrono::steady_clock::now() < end)
        context.run_for(std::chrono::milliseconds(2));
    return isMet();
}

} // namespace fuchsiagw::testing
