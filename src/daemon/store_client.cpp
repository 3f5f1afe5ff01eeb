/// @file
/// @brief Calls to the platform's store, and the loop over the list of daemons; each loop has its
/// own backoff. Those over the manifest and the members are in store_manifest.cpp and
/// store_members.cpp.

#include <fuchsiagw/daemon/store_client.hpp>

#include <fuchsiagw/detail/store_calls.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace fuchsiagw::daemon {

namespace {

using std::chrono::milliseconds;

/// Pause after a daemon has registered, so that daemons that start at the same time read each
/// other's rows before they claim parts of the limits.
constexpr milliseconds peerDiscoveryDelay{ 800 };
constexpr milliseconds initialBackoff{ 100 };
constexpr int maxBackoffDoublings = 3;
constexpr std::size_t maxUnreadableRows = 64; // whose log line is remembered
/// Time for the parts of a large answer over a narrow link.
constexpr milliseconds maxTransferTime{ 15'000 };

} // namespace

store_client::store_client(boost::asio::io_context &context, const session_settings &values,
                           store_callbacks callbacks)
    : context_(context)
    , values_(values)
    , callbacks_(std::move(callbacks))
    , httpClient_(context)
    , random_(std::random_device{}())
    , manifestTimer_(context)
{ }

void store_client::start()
{
    stepManifest();
    readMembers();
    readInstances();
}

void store_client::countCall(store_purpose purpose)
{
    ++counters_.calls.at(static_cast<std::size_t>(purpose));
}

void store_client::call(store_purpose purpose, const net::http_request &request,
                        milliseconds timeout, response_handler done,
                        const std::function<void()> &onPart)
{
    countCall(purpose);
    const core::time_point deadline = net::currentTime() + timeout;
    const net::response_transfer parts{ deadline + maxTransferTime, onPart };
    const auto transfer = request.method == "GET" ? std::optional(parts) : std::nullopt;
    httpClient_.call(
            values_.storeAddress, request, deadline,
            [this, done = std::move(done)](net::http_exchange &&result) {
                store_answer answer;
                answer.status = result.error ? statusNoResponse : result.response.status;
                answer.era = trackEra(result.response);
                answer.body = std::move(result.response.body);
                counters_.bytesReceived += answer.body.size();
                // 410 is not a failure of the store: it no longer has the requested change
                // history.
                const bool isServed = answer.status == statusOk || answer.status == statusGone
                                      || answer.status == statusConditionFailed;
                updateReachability(isServed);
                checkFeedsAfterSilence(result.error == std::errc::timed_out, isServed);
                if (!isStopped_)
                    handleResponse(done, answer);
            },
            transfer);
}

/// An unexpected error in the handling of a response must not end the loop that waits for it. The
/// call then counts as failed, and the loop continues with its backoff.
void store_client::handleResponse(const response_handler &done, const store_answer &answer)
{
    try {
        done(answer);
    } catch (const std::exception &failure) {
        callbacks_.onStoreEvent("response_failed", failure.what());
        done({});
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

/// Calls of the feeds that are older than a silence of the store may never be answered, and a
/// change would then be noticed at the end of their wait.
void store_client::checkFeedsAfterSilence(bool isTimeout, bool isServed)
{
    wasSilent_ = wasSilent_ || isTimeout;
    if (!wasSilent_ || !isServed || isStopped_)
        return;
    wasSilent_ = false;
    callbacks_.onStoreEvent("feeds_reopened", {});
    if (manifestFeed_.isOpen)
        followManifest();
    if (isFollowingMembers_) {
        ++memberGeneration_;
        followMembers();
    }
    if (isFollowingInstances_)
        followInstances(++instanceGeneration_);
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
         callTimeout, [this, part](const store_answer &answer) {
             milliseconds waitTime = part == 0 ? peerDiscoveryDelay : milliseconds(0);
             if (answer.status != statusOk)
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
    isFollowingInstances_ = false;
    readInstances({}, {});
}

void store_client::readInstances(const std::string &from,
                                 std::map<std::string, listed_instance> &&list)
{
    call(store_purpose::Instances, adapter::readRows(wire::instanceTable, from), callTimeout,
         [this, from, generation = instanceGeneration_,
          list = std::move(list)](const store_answer &answer) mutable {
             if (generation != instanceGeneration_)
                 return;
             const auto rows = rowsOf(answer);
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
    isFollowingInstances_ = true;
    call(store_purpose::Instances,
         adapter::followRows(wire::instanceTable, instanceFeedVersion_, longPollWait),
         longPollWait + longPollGrace,
         [this, generation, after = instanceFeedVersion_](const store_answer &received) {
             if (generation != instanceGeneration_)
                 return;
             isFollowingInstances_ = false;
             const store_answer answer = checkedFeed(received, after);
             const auto rows = rowsOf(answer);
             if (rows) {
                 instanceFailures_ = 0;
                 instanceFeedVersion_ = std::max(instanceFeedVersion_, rows->version);
                 if (!rows->rows.empty())
                     applyInstanceRows(rows->rows);
                 runAfter(pacing().instancePollPause,
                          [this, generation] { followInstances(generation); });
                 return;
             }
             runAfter(answer.status == statusGone ? milliseconds(0) : backoff(instanceFailures_++),
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
void store_client::reportUnreadable(const adapter::store_row &row, std::string_view event)
{
    if (unreadableRows_.size() >= maxUnreadableRows && !unreadableRows_.contains(row.key))
        unreadableRows_.erase(unreadableRows_.begin());
    if (std::exchange(unreadableRows_[row.key], row.version) == row.version)
        return;
    ++counters_.unreadableRows;
    callbacks_.onStoreEvent(event, row.key);
}

void store_client::reportInstances()
{
    std::vector<listed_instance> list;
    for (const auto &[node, each] : instances_)
        list.push_back(each);
    callbacks_.onInstances(list);
}

} // namespace fuchsiagw::daemon
