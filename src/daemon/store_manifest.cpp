/// @file
/// @brief The table that contains the manifest: followed through the feed of changes, and read
/// without waiting whenever proxy::manifest_sync asks for it.
///
/// Both kinds of read run beside each other, and every answer is used, however late: a row counts
/// if it is newer than what is known.

#include <fuchsiagw/daemon/store_client.hpp>

#include <fuchsiagw/detail/store_calls.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace fuchsiagw::daemon {

namespace {

using proxy::manifest_read;
using std::chrono::milliseconds;

/// Time within which the feed delivers a change that another read has brought.
constexpr milliseconds feedDelay{ 400 };
/// Bounds the calls that hang while the store's feeds are silent and changes go on.
constexpr milliseconds minReopenInterval{ 4'000 };
constexpr std::size_t maxReportedNames = 64; // unusable ones of a manifest

} // namespace

core::duration store_client::proofLifetime() const
{
    return proxy::proofLifetime(values_.configurationLimit, readerRank_, instances_.size());
}

void store_client::refreshManifest(std::uint64_t version)
{
    const std::uint64_t namedBefore = manifestSync_.namedVersion;
    proxy::onManifestNamed(manifestSync_, version, net::currentBootTime());
    if (manifestSync_.namedVersion != namedBefore)
        callbacks_.onStoreEvent("manifest_named", std::to_string(version));
    callbacks_.onManifestChecked(manifestSync_);
    stepManifest();
}

void store_client::confirmManifest(std::uint64_t version, core::time_point provenAt)
{
    if (version > manifestSync_.heldVersion || provenAt > net::currentBootTime())
        return;
    proxy::onManifestProven(manifestSync_, provenAt, proofLifetime());
    stepManifest();
}

void store_client::stepManifest()
{
    const core::time_point now = net::currentBootTime();
    if (const auto kind = proxy::startManifestRead(manifestSync_, now)) {
        if (*kind == manifest_read::Table)
            readManifestTable({}, {});
        else
            readManifestChanges();
    }
    const core::time_point due = proxy::nextManifestRead(manifestSync_);
    if (due == core::noDeadline) {
        manifestTimer_.cancel();
        return;
    }
    manifestTimer_.expires_after(std::max(core::duration(0), due - now));
    manifestTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error && !isStopped_)
            stepManifest();
    });
}

void store_client::readManifestChanges()
{
    call(store_purpose::Manifest,
         adapter::followRows(adapter::manifestTable(), manifestFeed_.version, milliseconds(0)),
         callTimeout,
         [this, sentAt = manifestSync_.sentAt,
          after = manifestFeed_.version](const store_answer &received) {
             if (!manifestSync_.isReading || sentAt != manifestSync_.sentAt)
                 return;
             const store_answer answer = checkedFeed(received, after);
             const auto changes = rowsOf(answer);
             if (!changes) {
                 onManifestReadFailed(answer.status);
                 return;
             }
             const std::uint64_t versionBefore = manifestFeed_.version;
             applyManifestChanges(*changes, proxy::manifest_source::Check);
             onManifestReadAnswered(manifest_read::Changes, versionBefore);
         });
}

/// @param rowsBefore pages before the one that begins at @p from
void store_client::readManifestTable(const std::string &from, adapter::store_rows &&rowsBefore)
{
    call(store_purpose::Manifest, adapter::readRows(adapter::manifestTable(), from), callTimeout,
         [this, from, sentAt = manifestSync_.sentAt,
          table = std::move(rowsBefore)](const store_answer &answer) mutable {
             if (!manifestSync_.isReading || sentAt != manifestSync_.sentAt)
                 return;
             auto page = rowsOf(answer);
             if (!page) {
                 onManifestReadFailed(answer.status);
                 return;
             }
             const auto nextPage = adapter::nextManifestPage(*page, from);
             // The changes since the first page are read next.
             if (from.empty())
                 table.version = page->version;
             std::move(page->rows.begin(), page->rows.end(), std::back_inserter(table.rows));
             if (nextPage) {
                 readManifestTable(*nextPage, std::move(table));
                 return;
             }
             const std::uint64_t versionBefore = manifestFeed_.version;
             applyManifestTable(table);
             onManifestReadAnswered(manifest_read::Table, versionBefore);
         });
}

void store_client::onManifestReadFailed(int status)
{
    reportFailedRead(manifestSync_.sentAt, status);
    const core::time_point now = net::currentBootTime();
    const bool isHistoryGone = status == statusGone;
    const auto pause = isHistoryGone ? milliseconds(0) : backoff(manifestSync_.failures);
    proxy::onManifestReadFailed(manifestSync_, now + pause, isHistoryGone);
    stepManifest();
}

void store_client::onManifestReadAnswered(manifest_read kind, std::uint64_t versionBefore)
{
    proxy::onManifestRead(manifestSync_, kind, net::currentBootTime(), proofLifetime());
    callbacks_.onManifestChecked(manifestSync_);
    if (!manifestFeed_.isOpen)
        followManifest();
    else if (manifestFeed_.lastChange > versionBefore)
        reopenFeedIfHung();
    stepManifest();
}

void store_client::followManifest()
{
    manifestFeed_.isOpen = true;
    proxy::onManifestFeedEnded(manifestSync_); // a call that was given up may have been arriving
    call(
            store_purpose::Manifest,
            adapter::followRows(adapter::manifestTable(), manifestFeed_.version, longPollWait),
            longPollWait + longPollGrace,
            [this, number = ++manifestFeed_.call, sentAt = net::currentBootTime(),
             after = manifestFeed_.version](const store_answer &answer) {
                onFeedAnswered(number, sentAt, checkedFeed(answer, after));
            },
            [this, number = manifestFeed_.call] {
                if (number == manifestFeed_.call)
                    proxy::onManifestFeedArriving(manifestSync_, net::currentBootTime());
            });
}

void store_client::onFeedAnswered(std::uint64_t number, core::time_point sentAt,
                                  const store_answer &answer)
{
    const bool isCurrent = number == manifestFeed_.call && manifestFeed_.isOpen;
    if (isCurrent) {
        manifestFeed_.isOpen = false;
        proxy::onManifestFeedEnded(manifestSync_);
    }
    const core::time_point now = net::currentBootTime();
    const auto changes = rowsOf(answer);
    if (changes) {
        applyManifestChanges(*changes, proxy::manifest_source::Feed);
        // Without a change the store answers at the end of the wait.
        if (changes->rows.empty() && now - sentAt >= longPollWait
            && !proxy::isManifestMissing(manifestSync_))
            proxy::onManifestProven(manifestSync_, sentAt + longPollWait, proofLifetime());
        callbacks_.onManifestChecked(manifestSync_);
        if (isCurrent)
            followManifest();
    } else {
        reportFailedRead(sentAt, answer.status);
        // A read that does not wait comes next, and opens the feed again.
        const bool isHistoryGone = answer.status == statusGone;
        const auto pause = isHistoryGone ? milliseconds(0) : backoff(manifestSync_.failures);
        if (isCurrent)
            proxy::onManifestFeedFailed(manifestSync_, now, now + pause, isHistoryGone);
    }
    stepManifest();
}

void store_client::readManifestAnew()
{
    const core::time_point now = net::currentBootTime();
    manifestFeed_.isOpen = false; // the read of the table opens it again
    ++manifestFeed_.call;
    if (manifestSync_.isReading)
        proxy::onManifestReadFailed(manifestSync_, now, true);
    proxy::onManifestFeedFailed(manifestSync_, now, now, true);
    stepManifest();
}

/// Gives up a call that has not delivered a change which another read has brought.
void store_client::reopenFeedIfHung()
{
    const core::time_point now = net::currentBootTime();
    const core::duration untilReopenable = manifestFeed_.reopenableAt - now;
    const auto pause =
            std::chrono::ceil<milliseconds>(std::max<core::duration>(feedDelay, untilReopenable));
    runAfter(pause, [this, number = manifestFeed_.call] {
        const core::time_point dueAt = net::currentBootTime();
        const bool isHung = number == manifestFeed_.call && manifestFeed_.isOpen
                            && dueAt >= manifestSync_.feedArrivesUntil;
        if (!isHung)
            return;
        ++counters_.reopenedFeeds;
        callbacks_.onStoreEvent("manifest_feed_silent", {});
        manifestFeed_.reopenableAt = dueAt + minReopenInterval;
        followManifest();
    });
}

void store_client::applyManifestRow(const adapter::store_row &row, proxy::manifest_source source)
{
    auto manifest = adapter::decodeManifest(row.value);
    if (!manifest) {
        proxy::onManifestUnreadable(manifestSync_, net::currentBootTime());
        reportUnreadable(row, "manifest_unreadable");
        return;
    }
    const std::uint64_t versionBefore = manifestSync_.heldVersion;
    proxy::onManifestHeld(manifestSync_, manifest->version);
    if (manifest->version == versionBefore)
        return;
    if (manifest->version > versionBefore)
        reportUnusableNames(*manifest);
    callbacks_.onManifest(std::make_shared<const proxy::manifest>(std::move(*manifest)), source);
}

void store_client::applyManifestChanges(const adapter::store_rows &changes,
                                        proxy::manifest_source source)
{
    for (const adapter::store_row &row : changes.rows) {
        // A read of the table may have brought it before.
        if (row.version <= manifestFeed_.version)
            continue;
        manifestFeed_.lastChange = std::max(manifestFeed_.lastChange, row.version);
        if (adapter::isManifestRow(row) && !row.deleted)
            applyManifestRow(row, source);
        const auto zone = adapter::evacuatedZoneOf(row);
        if (zone && row.deleted)
            evacuatedZones_.erase(*zone);
        else if (zone)
            evacuatedZones_.insert(*zone);
    }
    manifestFeed_.version = std::max(manifestFeed_.version, changes.version);
    callbacks_.onEvacuations(evacuatedZones_, manifestFeed_.version);
}

void store_client::applyManifestTable(const adapter::store_rows &table)
{
    // Changes that were read meanwhile are newer than the table.
    const bool isOutdated = table.version < manifestFeed_.version;
    if (!isOutdated)
        evacuatedZones_.clear();
    for (const adapter::store_row &row : table.rows) {
        manifestFeed_.lastChange = std::max(manifestFeed_.lastChange, row.version);
        const auto zone = adapter::evacuatedZoneOf(row);
        if (adapter::isManifestRow(row))
            applyManifestRow(row, proxy::manifest_source::Table);
        else if (zone && !isOutdated)
            evacuatedZones_.insert(*zone);
    }
    manifestFeed_.version = std::max(manifestFeed_.version, table.version);
    callbacks_.onEvacuations(evacuatedZones_, manifestFeed_.version);
}

void store_client::reportUnusableNames(const proxy::manifest &manifest)
{
    const std::size_t count = std::min(manifest.unusableNames.size(), maxReportedNames);
    for (std::size_t i = 0; i < count; ++i)
        callbacks_.onStoreEvent("name_unusable", manifest.unusableNames[i]);
}

void store_client::reportFailedRead(core::time_point sentAt, int status)
{
    ++counters_.failedManifestReads;
    callbacks_.onStoreEvent(
            "manifest_read_failed",
            fmt::format("age_us={} status={}", (net::currentBootTime() - sentAt).count(), status));
}

} // namespace fuchsiagw::daemon
