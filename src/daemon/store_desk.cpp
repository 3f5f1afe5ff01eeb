/// @file
/// @brief Loops over the platform's store, each with its own pace after failures.

#include <fuchsiagw/daemon/store_desk.hpp>

#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/wire/automation_json.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace fuchsiagw::daemon {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds callLimit{ 1'500 };
/// Long polls are answered at once when something changes. Silent connections are noticed by
/// keep-alive probes, so the wait can be long.
constexpr milliseconds followWait{ 28'000 };
constexpr milliseconds watchWait{ 4'000 }; // of the daemons that watch for a silent connection
constexpr milliseconds answerTime{ 1'500 }; // beyond the wait of a long poll
constexpr milliseconds leastManifestInterval{ 700 };
/// Changes that come together are read together.
constexpr milliseconds followPause{ 800 };
/// Daemons join one after the other when all are started at once.
constexpr milliseconds joinPause{ 3'000 };
/// Daemons that start together know each other before they claim parts of the limits.
constexpr milliseconds othersTime{ 800 };
constexpr milliseconds leastMemberInterval{ 250 };
constexpr milliseconds firstBackoff{ 100 };
constexpr int maxBackoffDoublings = 3;
/// A daemon that drew a token acts alone for this time.
constexpr std::int64_t promotionLeaseMs = 3'000;
constexpr const char *promotionTable = "promotions";

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusGone = 410;
constexpr int statusConditionFailed = 412;
constexpr int statusNone = 0; // no answer

const adapter::store_row *findRow(const adapter::store_rows &rows, std::string_view table,
                                  std::string_view key)
{
    const auto found = std::find_if(rows.rows.begin(), rows.rows.end(), [&](const auto &each) {
        return each.key == key && (each.table.empty() || each.table == table);
    });
    return found == rows.rows.end() ? nullptr : &*found;
}

/// @return none if the row was dropped or can't be read
std::optional<listed_instance> decodeInstance(const adapter::store_row &row)
{
    const auto value = row.deleted ? std::nullopt : wire::readInstanceRow(row.value);
    if (!value)
        return std::nullopt;
    listed_instance each;
    each.node = row.key;
    each.row = *value;
    each.version = row.version;
    return each;
}

} // namespace

store_desk::store_desk(boost::asio::io_context &context, const session_settings &values,
                       store_events events)
    : context_(context)
    , values_(values)
    , events_(std::move(events))
    , client_(context)
    , random_(std::random_device{}())
{ }

void store_desk::start()
{
    readManifest();
    readMembers();
    readInstances();
}

void store_desk::countCall(store_purpose purpose)
{
    ++counters_.calls.at(static_cast<std::size_t>(purpose));
}

void store_desk::call(store_purpose purpose, const net::http_request &request, milliseconds limit,
                      answer_handler done)
{
    countCall(purpose);
    client_.call(values_.storeAddress, request, net::currentTime() + limit,
                 [this, done = std::move(done)](net::http_exchange &&result) {
                     const int status = result.error ? statusNone : result.response.status;
                     counters_.bytesReceived += result.response.body.size();
                     // A 410 is an answer: the history that was asked for is gone.
                     const bool served = status == statusOk || status == statusGone
                                         || status == statusConditionFailed;
                     noteOutcome(served);
                     if (!stopped_)
                         done(status, result.response.body);
                 });
}

void store_desk::noteOutcome(bool reached)
{
    if (!reached)
        ++counters_.failures;
    if (reached == reachable_)
        return;
    reachable_ = reached;
    events_.note(reached ? "store_regained" : "store_lost", {});
}

void store_desk::after(milliseconds pause, std::function<void()> next)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, pause);
    timer->async_wait(
            [this, timer, next = std::move(next)](const boost::system::error_code &error) {
                if (!error && !stopped_)
                    next();
            });
}

milliseconds store_desk::backoff(int failures)
{
    const milliseconds whole = firstBackoff * (1 << std::min(failures, maxBackoffDoublings));
    const auto half = static_cast<std::uint64_t>(whole.count() / 2);
    return whole / 2 + milliseconds(static_cast<std::int64_t>(core::drawBelow(random_, half + 1)));
}

void store_desk::takeManifest(const std::vector<adapter::store_row> &rows)
{
    for (const adapter::store_row &row : rows) {
        if (!adapter::isManifestRow(row) || row.deleted)
            continue;
        auto next = adapter::decodeManifest(row.value);
        if (next)
            events_.manifest(std::make_shared<const proxy::manifest>(std::move(*next)));
        else
            events_.note("manifest_unreadable", row.key);
    }
}

void store_desk::refreshManifest()
{
    if (net::currentBootTime() - lastManifestRead_ >= leastManifestInterval)
        readManifest();
}

void store_desk::readManifest()
{
    lastManifestRead_ = net::currentBootTime();
    ++manifestLoop_;
    call(store_purpose::Manifest, adapter::readRows(adapter::manifestTable(), {}), callLimit,
         [this, loop = manifestLoop_](int status, const std::string &body) {
             if (loop != manifestLoop_)
                 return;
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (!rows) {
                 after(backoff(manifestFailures_++), [this, loop] {
                     if (loop == manifestLoop_)
                         readManifest();
                 });
                 return;
             }
             manifestFailures_ = 0;
             manifestSeen_ = rows->version;
             takeManifest(rows->rows);
             followManifest();
         });
}

void store_desk::followManifest()
{
    const milliseconds wait = watching_ ? watchWait : followWait;
    call(store_purpose::Manifest,
         adapter::followRows(adapter::manifestTable(), manifestSeen_, wait), wait + answerTime,
         [this, loop = manifestLoop_](int status, const std::string &body) {
             if (loop != manifestLoop_)
                 return;
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (rows) {
                 manifestFailures_ = 0;
                 manifestSeen_ = std::max(manifestSeen_, rows->version);
                 takeManifest(rows->rows);
                 followManifest();
                 return;
             }
             // What was missed meanwhile is in the table itself.
             after(status == statusGone ? milliseconds(0) : backoff(manifestFailures_++),
                   [this, loop] {
                       if (loop == manifestLoop_)
                           readManifest();
                   });
         });
}

void store_desk::refreshMembers()
{
    if (net::currentBootTime() - lastMemberRead_ >= leastMemberInterval)
        readMembers();
}

void store_desk::readMembers()
{
    lastMemberRead_ = net::currentBootTime();
    ++memberLoop_;
    readMembers({}, {});
}

void store_desk::readMembers(const std::string &from,
                             std::map<std::string, proxy::listed_member> &&list)
{
    call(store_purpose::Members, adapter::readRows(adapter::memberTable(), from), callLimit,
         [this, loop = memberLoop_, list = std::move(list)](int status,
                                                            const std::string &body) mutable {
             if (loop != memberLoop_)
                 return;
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (!rows) {
                 after(backoff(memberFailures_++), [this, loop] {
                     if (loop == memberLoop_)
                         readMembers();
                 });
                 return;
             }
             for (const adapter::store_row &row : rows->rows) {
                 if (const auto entry = adapter::decodeMember(row))
                     list[row.key] = { *entry, row.version };
             }
             if (rows->hasMore && !rows->rows.empty()) {
                 readMembers(rows->rows.back().key + '!', std::move(list));
                 return;
             }
             memberFailures_ = 0;
             membersSeen_ = rows->version;
             members_ = std::move(list);
             reportMembers();
             followMembers();
         });
}

void store_desk::followMembers()
{
    call(store_purpose::Members,
         adapter::followRows(adapter::memberTable(), membersSeen_, followWait),
         followWait + answerTime, [this, loop = memberLoop_](int status, const std::string &body) {
             if (loop != memberLoop_)
                 return;
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             const auto pause = rows                   ? followPause
                                : status == statusGone ? milliseconds(0)
                                                       : backoff(memberFailures_++);
             if (rows) {
                 memberFailures_ = 0;
                 membersSeen_ = std::max(membersSeen_, rows->version);
                 if (!rows->rows.empty())
                     takeMembers(rows->rows);
             }
             after(pause, [this, loop, read = rows.has_value()] {
                 if (loop != memberLoop_)
                     return;
                 if (read)
                     followMembers();
                 else
                     readMembers();
             });
         });
}

void store_desk::takeMembers(const std::vector<adapter::store_row> &rows)
{
    for (const adapter::store_row &row : rows) {
        const auto entry = row.deleted ? std::nullopt : adapter::decodeMember(row);
        if (entry)
            members_[row.key] = { *entry, row.version };
        else
            members_.erase(row.key);
    }
    reportMembers();
}

void store_desk::reportMembers()
{
    std::vector<proxy::listed_member> list;
    for (const auto &[id, each] : members_)
        list.push_back(each);
    events_.members(list);
}

void store_desk::claim(std::int64_t part, std::uint64_t incarnation)
{
    if (std::exchange(claiming_, true))
        return;
    const auto own = instances_.find(values_.instance);
    const std::uint64_t version = own == instances_.end() ? 0 : own->second.version;
    const std::string value = wire::toJson({ values_.address, values_.zone, incarnation, part });
    // A call that is carried out late must not replace what was written after it.
    call(store_purpose::Instances,
         adapter::changeRows({ { wire::instanceTable, values_.instance, version, value } }),
         callLimit, [this, part](int status, const std::string &) {
             milliseconds pause = part == 0 ? othersTime : milliseconds(0);
             if (status != statusOk)
                 pause = backoff(instanceFailures_++);
             after(pause, [this] {
                 claiming_ = false;
                 readInstances();
             });
         });
}

void store_desk::readInstances()
{
    ++instanceLoop_;
    readInstances({}, {});
}

void store_desk::readInstances(const std::string &from,
                               std::map<std::string, listed_instance> &&list)
{
    call(store_purpose::Instances, adapter::readRows(wire::instanceTable, from), callLimit,
         [this, loop = instanceLoop_, list = std::move(list)](int status,
                                                              const std::string &body) mutable {
             if (loop != instanceLoop_)
                 return;
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (!rows) {
                 after(backoff(instanceFailures_++), [this, loop] {
                     if (loop == instanceLoop_)
                         readInstances();
                 });
                 return;
             }
             for (const adapter::store_row &row : rows->rows) {
                 if (const auto each = decodeInstance(row))
                     list[row.key] = *each;
             }
             if (rows->hasMore && !rows->rows.empty()) {
                 readInstances(rows->rows.back().key + '!', std::move(list));
                 return;
             }
             instanceFailures_ = 0;
             instancesSeen_ = rows->version;
             instances_ = std::move(list);
             reportInstances();
             after(joinPause, [this, loop] { followInstances(loop); });
         });
}

void store_desk::followInstances(std::uint64_t loop)
{
    if (loop != instanceLoop_)
        return;
    call(store_purpose::Instances,
         adapter::followRows(wire::instanceTable, instancesSeen_, followWait),
         followWait + answerTime, [this, loop](int status, const std::string &body) {
             if (loop != instanceLoop_)
                 return;
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (rows) {
                 instanceFailures_ = 0;
                 instancesSeen_ = std::max(instancesSeen_, rows->version);
                 if (!rows->rows.empty())
                     takeInstances(rows->rows);
                 after(joinPause, [this, loop] { followInstances(loop); });
                 return;
             }
             after(status == statusGone ? milliseconds(0) : backoff(instanceFailures_++),
                   [this, loop] {
                       if (loop == instanceLoop_)
                           readInstances();
                   });
         });
}

void store_desk::takeInstances(const std::vector<adapter::store_row> &rows)
{
    for (const adapter::store_row &row : rows) {
        if (const auto each = decodeInstance(row))
            instances_[row.key] = *each;
        else
            instances_.erase(row.key);
    }
    reportInstances();
}

void store_desk::reportInstances()
{
    std::vector<listed_instance> list;
    for (const auto &[node, each] : instances_)
        list.push_back(each);
    events_.instances(list);
}

void store_desk::drawToken(const std::string &service)
{
    if (promotionsAllowed_) {
        readPromotion(service);
        return;
    }
    call(store_purpose::Promotion,
         adapter::readRow(wire::automationTable, std::string(wire::promotionSwitchKey)), callLimit,
         [this, service](int status, const std::string &body) {
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (!rows) {
                 events_.token(service, 0);
                 return;
             }
             takeSwitch(*rows);
             if (promotionsAllowed_)
                 readPromotion(service);
             else
                 events_.promotionsOff(service);
         });
}

void store_desk::readPromotion(const std::string &service)
{
    call(store_purpose::Promotion, adapter::readRow(promotionTable, service), callLimit,
         [this, service](int status, const std::string &body) {
             const auto rows = status == statusOk ? adapter::decodeRows(body) : std::nullopt;
             if (rows)
                 claimPromotion(service, *rows);
             else
                 events_.token(service, 0);
         });
}

void store_desk::takeSwitch(const adapter::store_rows &rows)
{
    const adapter::store_row *row = findRow(rows, wire::automationTable, wire::promotionSwitchKey);
    switchVersion_ = row == nullptr ? 0 : row->version;
    promotionsAllowed_ = row == nullptr || wire::readSwitch(row->value).allowed;
}

void store_desk::claimPromotion(const std::string &service, const adapter::store_rows &rows)
{
    std::uint64_t version = 0;
    if (const adapter::store_row *row = findRow(rows, promotionTable, service)) {
        version = row->version;
        const auto held = nlohmann::json::parse(row->value, nullptr, false);
        const bool known = held.is_object();
        const bool own = known && held.value("holder", std::string()) == values_.instance;
        const std::int64_t left =
                known ? held.value("until_ms", std::int64_t{ 0 }) - rows.storeClockMs : 0;
        if (!own && left > 0) {
            events_.tokenHeld(service, milliseconds(std::min(left, promotionLeaseMs)));
            return;
        }
    }
    const nlohmann::json value = { { "holder", values_.instance },
                                   { "until_ms", rows.storeClockMs + promotionLeaseMs } };
    // The switch is compared in the same transaction, so that no attempt starts once the operator's
    // change of it was acknowledged.
    adapter::row_change switchUnchanged;
    switchUnchanged.table = wire::automationTable;
    switchUnchanged.key = wire::promotionSwitchKey;
    switchUnchanged.expectedVersion = switchVersion_;
    switchUnchanged.checkedOnly = true;
    call(store_purpose::Promotion,
         adapter::changeRows(
                 { switchUnchanged, { promotionTable, service, version, value.dump() } }),
         callLimit, [this, service](int status, const std::string &body) {
             const auto answer = adapter::decodeRows(body);
             if (status == statusConditionFailed && answer) {
                 onClaimConflict(service, *answer);
                 return;
             }
             // The version that the store gives to the change is higher than every earlier one, so
             // it serves as the fencing token.
             events_.token(service, status == statusOk && answer ? answer->version : 0);
         });
}

/// Another daemon was faster, or the operator has changed the switch since it was last read.
void store_desk::onClaimConflict(const std::string &service, const adapter::store_rows &present)
{
    const std::uint64_t known = switchVersion_;
    takeSwitch(present);
    if (!promotionsAllowed_)
        events_.promotionsOff(service);
    else if (switchVersion_ != known)
        readPromotion(service);
    else
        events_.token(service, 0);
}

void store_desk::promote(const std::string &service, const std::string &member, std::uint64_t token)
{
    countCall(store_purpose::Promotion);
    client_.call(values_.promotionAddress,
                 adapter::promote(service, member, values_.instance, token),
                 net::currentTime() + callLimit, [this, service](net::http_exchange &&result) {
                     proxy::promote_outcome outcome = proxy::promote_outcome::Refused;
                     if (result.error)
                         outcome = proxy::promote_outcome::NoAnswer;
                     else if (result.response.status == statusOk)
                         outcome = proxy::promote_outcome::Ordered;
                     else if (result.response.status == statusConflict)
                         outcome = proxy::promote_outcome::FencedOff;
                     if (!stopped_)
                         events_.promoted(service, outcome);
                 });
}

} // namespace fuchsiagw::daemon
