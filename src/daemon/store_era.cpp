/// @file
/// @brief Follows the era of the platform's store, which rises when the store returns from an older
/// copy: what it has acknowledged since that copy is gone, so the lists are read again as a whole.

#include <fuchsiagw/daemon/store_client.hpp>

#include <fuchsiagw/net/clock.hpp>

#include <string>
#include <utility>

namespace fuchsiagw::daemon {

/// An answer without a usable era counts as one of the latest known era; an answer of an earlier
/// era keeps that era, so that its versions are older than those that are known.
/// @return the era of an answer
core::store_era store_client::trackEra(const net::http_response &response)
{
    const std::string_view header = adapter::eraHeader(response);
    const auto era = adapter::decodeEra(header);
    if (!era) {
        if (!header.empty())
            reportEra("store_era_unreadable", header);
        return era_.value_or(0);
    }
    if (era_ && *era < *era_)
        reportEra("store_era_older", header);
    else if (era_ && *era > *era_)
        beginEra(*era);
    else
        era_ = era;
    return *era;
}

void store_client::beginEra(core::store_era era)
{
    era_ = era;
    eraChangedAt_ = net::currentBootTime();
    ++counters_.eraChanges;
    if (isStopped_)
        return;
    callbacks_.onStoreEvent("store_era_began", std::to_string(era));
    // The feeds would go on after numbers that may name other changes now.
    readManifestAnew();
    readMembers();
    readInstances();
}

/// Logs an unusable era once for each value in a row.
void store_client::reportEra(std::string_view event, std::string_view era)
{
    constexpr std::size_t maxLoggedBytes = 40;
    std::string value(era.substr(0, maxLoggedBytes));
    if (std::exchange(reportedEra_, value) != value)
        callbacks_.onStoreEvent(event, value);
}

} // namespace fuchsiagw::daemon
