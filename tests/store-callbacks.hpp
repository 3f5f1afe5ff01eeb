/// @file
/// @brief Callbacks of store_client for tests that look at a few of them only.

#pragma once

#include <fuchsiagw/daemon/store_client.hpp>

namespace fuchsiagw::testing {

/// @return callbacks that do nothing
inline daemon::store_callbacks ignoringCallbacks()
{
    daemon::store_callbacks result;
    result.onManifest = [](auto, auto) {};
    result.onManifestChecked = [](const auto &) {};
    result.onEvacuations = [](const auto &, auto) {};
    result.onMembers = [](const auto &) {};
    result.onInstances = [](const auto &) {};
    result.onTokenAcquired = [](const auto &, auto, const auto &) {};
    result.onStoreEvent = [](auto, auto) {};
    return result;
}

/// @return settings of a daemon that uses this store
inline daemon::session_settings settingsFor(const net::endpoint &store)
{
    daemon::session_settings result;
    result.instance = "n1";
    result.zone = "north";
    result.address = "127.0.0.1";
    result.storeAddress = store;
    result.promotionAddress = store;
    return result;
}

} // namespace fuchsiagw::testing
