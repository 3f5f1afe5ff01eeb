/// @file
/// @brief What a member of a database group says of itself in the platform's store.

#pragma once

#include <cstdint>
#include <string>

namespace fuchsiagw::proxy {

struct upstream_entry
{
    std::string id;
    std::string service;
    std::string address; ///< IP number and port
    std::string zone;
    std::uint32_t slots = 0;
    bool draining = false;
    bool claimsPrimary = false; ///< its own view; may be out of date
    std::uint64_t startedAtMs = 0; ///< Unix time of its start; another value means an empty memory
};

} // namespace fuchsiagw::proxy
