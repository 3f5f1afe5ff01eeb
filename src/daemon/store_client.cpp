/// @file
/// @brief Read and follow loops over the tables of the platform's store; each loop has its own
/// backoff. The loop over the members is in store_members.cpp.

#include <fuchsiagw/daemon/store_client.hpp>

#include <fuchsiagw/detail/store_calls.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace fuchsiagw::daemon {

namespace {

using std::chrono::milliseconds;

/// Wait of the daemons that check whether the manifest's feed still delivers changes.
constexpr milliseconds shortPollWait{ 4'000 };
constexpr milliseconds minManifestReadInterval{ 700 };
/// Time within which this daemon's own feed normally delivers a manifest that another daemon has.
constexpr milliseconds manifestFeedDelay{ 400 };
/// Pause after a daemon has registered, so that daemons that start at the same time read each
/// other's rows before they claim parts of the limits.
constexpr milliseconds peerDiscoveryDelay{ 800 };
constexpr milliseconds initialBackoff{ 100 };
constexpr int maxBackoffDoublings = 3;
constexpr std::size_t maxUnreadableRows = 64; // whose log line is remembered
constexpr std::size_t maxReportedNames = 64; // unusable ones of a manifest

} // namespace

store_client::store_client(boost::asio::io_context &context, const session_settings &values,
                           store_callbacks callbacks)
    : context_(context)
    , values_(values)
    , callbacks_(std::move(callbacks))
    , httpClient_(context)
    , random_(std::random_device{}())
{ }

void store_client::start()
{
    readManifest();
    readMembers();
    readInstances();
}

void store_client::countCall(store_purpose purpose)
{
    ++counters_.calls.at(static_cast<std::size_t>(purpose));
}

void store_client::call(store_purpose purpose, const net::http_request &request,
                        milliseconds timeout, response_handler done)
{
    countCall(purpose);
    httpClient_.call(values_.storeAddress, request, net::currentTime() + timeout,
                     [this, done = std::move(done)](net::http_exchange &&result) {
                         const int status =
                                 result.error ? statusNoResponse : result.response.status;
                         counters_.bytesReceived += result.response.body.size();
                         // 410 is not a failure of the store: it no longer has the requested change
                         // history.
                         const bool isServed = status == statusOk || status == statusGone
                                               || status == statusConditionFailed;
                         updateReachability(isServed);
                         if (!isStopped_)
                             handleResponse(done, status, result.response.body);
                     });
}

/// An unexpected error in the handling of a response must not end the loop that waits for it. The
/// call then counts as failed, and the loop continues with its backoff.
void store_client::handleResponse(const response_handler &done, int status, const std::string &body)
{
    try {
        done(status, body);
    } catch (const std::exception &failure) {
        callbacks_.onStoreEvent("response_failed", failure.what());
        done(statusNoResponse, {});
    }
}

void store_client::updateReachability(bool isReached)
{
    if (!isReached)
        ++counters_.failures;
    if (isReached == isReachable_)
        return;
    isReachable_ = isReached;
    callbacks_.onStoreEvent(isReached ? "store_regained" : "store_lost", {});
}

void store_client::runAfter(milliseconds waitTime, std::function<void()> task)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, waitTime);
    timer->async_wait(
            [this, timer, task = std::move(task)](const boost::system::error_code &error) {
                if (!error && !isStopped_)
                    task();
            });
}

milliseconds store_client::backoff(int failures)
{
    const milliseconds fullDelay = initialBackoff * (1 << std::min(failures, maxBackoffDoublings));
    const auto halfDelay = static_cast<std::uint64_t>(fullDelay.count() / 2);
    return fullDelay / 2
           + milliseconds(static_cast<std::int64_t>(core::drawBelow(random_, halfDelay + 1)));
}

void store_client::reportAbandonedRead(core::time_point sentAt, std::size_t bytes)
{
    ++manifestReads_.abandoned;
    callbacks_.onStoreEvent(
            "manifest_read_abandoned",
            fmt::format("age_us={} bytes={}", (net::currentBootTime() - sentAt).count(), bytes));
}

void store_client::reportFailedRead(core::time_point sentAt, int status)
{
    ++manifestReads_.failed;
    callbacks_.onStoreEvent(
            "manifest_read_failed",
            fmt::format("age_us={} status={}", (net::currentBootTime() - sentAt).count(), status));
}

void store_client::applyManifestRows(const std::vector<adapter::store_row> &rows,
                                     proxy::manifest_source source)
{
    for (const adapter::store_row &row : rows) {
        if (!adapter::isManifestRow(row) || row.deleted)
            continue;
        auto manifest = adapter::decodeManifest(row.value);
        if (!manifest) {
            callbacks_.onStoreEvent("manifest_unreadable", row.key);
            continue;
        }
        if (manifest->version > manifestVersion_)
            reportUnusableNames(*manifest);
        manifestVersion_ = std::max(manifestVersion_, manifest->version);
        callbacks_.onManifest(std::make_shared<const proxy::manifest>(std::move(*manifest)),
                              source);
    }
}

void store_client::applyEvacuationRows(const std::vector<adapter::store_row> &rows)
{
    for (const adapter::store_row &row : rows) {
        const auto zone = adapter::evacuatedZoneOf(row);
        if (zone && row.deleted)
            evacuatedZones_.erase(*zone);
        else if (zone)
            evacuatedZones_.insert(*zone);
    }
    callbacks_.onEvacuations(evacuatedZones_, manifestFeedVersion_);
}

void store_client::reportUnusableNames(const proxy::manifest &manifest)
{
    const std::size_t count = std::min(manifest.unusableNames.size(), maxReportedNames);
    for (std::size_t i = 0; i < count; ++i)
        callbacks_.onStoreEvent("name_unusable", manifest.unusableNames[i]);
}

void store_client::refreshManifest(std::uint64_t version)
{
    if (version > std::max(manifestVersion_, manifestReads_.namedVersion))
        callbacks_.onStoreEvent("manifest_named", std::to_string(version));
    manifestReads_.namedVersion = std::max(manifestReads_.namedVersion, version);
    if (std::exchange(isManifestCheckDue_, true))
        return;
    // Most daemons get the change from their own feed at about the same time.
    runAfter(manifestFeedDelay, [this] {
        isManifestCheckDue_ = false;
        const bool isBehind = manifestVersion_ < manifestReads_.namedVersion;
        if (isBehind && net::currentBootTime() - lastManifestRead_ >= minManifestReadInterval)
            readManifest();
    });
}

void store_client::readManifest()
{
    lastManifestRead_ = net::currentBootTime();
    ++manifestGeneration_;
    call(store_purpose::Manifest, adapter::readRows(adapter::manifestTable(), {}), callTimeout,
         [this, generation = manifestGeneration_,
          sentAt = lastManifestRead_](int status, const std::string &body) {
             if (generation != manifestGeneration_) {
                 reportAbandonedRead(sentAt, body.size());
                 return;
             }
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (!rows) {
                 reportFailedRead(sentAt, status);
                 runAfter(backoff(manifestFailures_++), [this, generation] {
                     if (generation == manifestGeneration_)
                         readManifest();
                 });
                 return;
             }
             manifestFailures_ = 0;
             manifestReads_.lastCompletedAt = net::currentBootTime();
             manifestFeedVersion_ = rows->version;
             evacuatedZones_.clear();
             applyEvacuationRows(rows->rows);
             applyManifestRows(rows->rows, proxy::manifest_source::Table);
             followManifest();
         });
}

void store_client::followManifest()
{
    const milliseconds pollWait = usesShortPolls_ ? shortPollWait : longPollWait;
    call(store_purpose::Manifest,
         adapter::followRows(adapter::manifestTable(), manifestFeedVersion_, pollWait),
         pollWait + longPollGrace,
         [this, generation = manifestGeneration_,
          sentAt = net::currentBootTime()](int status, const std::string &body) {
             if (generation != manifestGeneration_) {
                 reportAbandonedRead(sentAt, body.size());
                 return;
             }
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (rows) {
                 manifestFailures_ = 0;
                 manifestReads_.lastCompletedAt = net::currentBootTime();
                 manifestFeedVersion_ = std::max(manifestFeedVersion_, rows->version);
                 applyEvacuationRows(rows->rows);
                 applyManifestRows(rows->rows, proxy::manifest_source::Feed);
                 followManifest();
                 return;
             }
             reportFailedRead(sentAt, status);
             // A full read of the table includes the changes that the feed did not deliver.
             runAfter(status == statusGone ? milliseconds(0) : backoff(manifestFailures_++),
                      [this, generation] {
                          if (generation == manifestGeneration_)
                              readManifest();
                      });
         });
}

read_pacing store_client::pacing() const
{
    return pacingFor(instances_.size());
}

void store_client::claim(std::int64_t part, std::uint64_t incarnation)
{
    if (std::exchange(isClaiming_, true))
        return;
    const auto ownRow = instances_.find(values_.instance);
    const std::uint64_t version = ownRow == instances_.end() ? 0 : ownRow->second.version;
    const std::string value =
            wire::toJson({ values_.address, values_.zone, incarnation, part, values_.cpuShare });
    // The expected version keeps a delayed request from overwriting a newer row.
    call(store_purpose::Instances,
         adapter::changeRows({ { wire::instanceTable, values_.instance, version, value } }),
         callTimeout, [this, part](int status, const std::string &) {
             milliseconds waitTime = part == 0 ? peerDiscoveryDelay : milliseconds(0);
             if (status != statusOk)
                 waitTime = backoff(instanceFailures_++);
             runAfter(waitTime, [this] {
                 isClaiming_ = false;
                 readInstances();
             });
         });
}

void store_client::readInstances()
{
    ++instanceGeneration_;
    readInstances({}, {});
}

void store_client::readInstances(const std::string &from,
                                 std::map<std::string, listed_instance> &&list)
{
    call(store_purpose::Instances, adapter::readRows(wire::instanceTable, from), callTimeout,
         [this, from, generation = instanceGeneration_,
          list = std::move(list)](int status, const std::string &body) mutable {
             if (generation != instanceGeneration_)
                 return;
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (!rows || !leadsOn(*rows, from)) {
                 runAfter(backoff(instanceFailures_++), [this, generation] {
                     if (generation == instanceGeneration_)
                         readInstances();
                 });
                 return;
             }
             for (const adapter::store_row &row : rows->rows) {
                 if (const auto each = decodeInstance(row))
                     list[row.key] = *each;
             }
             // The feed then repeats what changed while the pages were read.
             if (from.empty())
                 instanceFeedVersion_ = rows->version;
             if (rows->hasMore) {
                 readInstances(rows->rows.back().key, std::move(list));
                 return;
             }
             instanceFailures_ = 0;
             instances_ = std::move(list);
             reportInstances();
             runAfter(pacing().instancePollPause,
                      [this, generation] { followInstances(generation); });
         });
}

void store_client::followInstances(std::uint64_t generation)
{
    if (generation != instanceGeneration_)
        return;
    call(store_purpose::Instances,
         adapter::followRows(wire::instanceTable, instanceFeedVersion_, longPollWait),
         longPollWait + longPollGrace, [this, generation](int status, const std::string &body) {
             if (generation != instanceGeneration_)
                 return;
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (rows) {
                 instanceFailures_ = 0;
                 instanceFeedVersion_ = std::max(instanceFeedVersion_, rows->version);
                 if (!rows->rows.empty())
                     applyInstanceRows(rows->rows);
                 runAfter(pacing().instancePollPause,
                          [this, generation] { followInstances(generation); });
                 return;
             }
             runAfter(status == statusGone ? milliseconds(0) : backoff(instanceFailures_++),
                      [this, generation] {
                          if (generation == instanceGeneration_)
                              readInstances();
                      });
         });
}

void store_client::applyInstanceRows(const std::vector<adapter::store_row> &rows)
{
    for (const adapter::store_row &row : rows) {
        if (const auto each = decodeInstance(row))
            instances_[row.key] = *each;
        else
            instances_.erase(row.key);
    }
    reportInstances();
}

/// Another writer may have overwritten a daemon's row. The daemon still holds its part of the
/// limits, so the last readable value stays in force with the version of the present row; the
/// daemon itself replaces the row.
std::optional<listed_instance> store_client::decodeInstance(const adapter::store_row &row)
{
    if (row.deleted)
        return std::nullopt;
    listed_instance result;
    result.node = row.key;
    result.version = row.version;
    if (const auto value = wire::readInstanceRow(row.value)) {
        result.row = *value;
        return result;
    }
    reportUnreadable(row);
    const auto known = instances_.find(row.key);
    if (known != instances_.end())
        result.row = known->second.row;
    else if (row.key != values_.instance)
        return std::nullopt;
    return result;
}

/// Logs an unreadable row once for each of its versions.
void store_client::reportUnreadable(const adapter::store_row &row)
{
    if (unreadableRows_.size() >= maxUnreadableRows && !unreadableRows_.contains(row.key))
        unreadableRows_.erase(unreadableRows_.begin());
    if (std::exchange(unreadableRows_[row.key], row.version) == row.version)
        return;
    ++counters_.unreadableRows;
    callbacks_.onStoreEvent("row_unreadable", row.key);
}

void store_client::reportInstances()
{
    std::vector<listed_instance> list;
    for (const auto &[node, each] : instances_)
        list.push_back(each);
    callbacks_.onInstances(list);
}

} // namespace fuchsiagw::daemon
