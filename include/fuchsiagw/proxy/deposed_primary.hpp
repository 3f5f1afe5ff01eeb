/// @file
/// @brief Primary of a group that has stepped down while nobody else leads.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

#include <string>

namespace fuchsiagw::proxy {

/// Every commit that was acknowledged in its term is in its log.
struct deposed_primary
{
    std::string member;
    core::term_number term = 0; ///< in which it led
    core::log_position received; ///< newest position in its log
    core::time_point validUntil{}; ///< another member may have led and been lost by then
};

} // namespace fuchsiagw::proxy
