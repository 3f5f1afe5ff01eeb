/// @file
/// @brief Entry that a member of a database group publishes in the platform's store.

#pragma once

#include <cstdint>
#include <string>

namespace fuchsiagw::proxy {

struct upstream_entry
{
    std::string id;
    std::string service;
    std::string address; ///< IP address and port
    std::string zone;
    std::uint32_t slots = 0;
    bool draining = false;
    bool claimsPrimary = false; ///< self-reported; may be out of date
    std::uint64_t startedAtMs =
            0; ///< Unix time of its start; a new value means that the process restarted
};

} // namespace fuchsiagw::proxy
