/// @file
/// @brief Fencing tokens and promotion orders: a lease for each service in the platform's store,
/// drawn by a compare-and-set that also checks the operators' switch, and the record of open orders
/// beside it.

#include <fuchsiagw/daemon/store_client.hpp>

#include <fuchsiagw/detail/store_calls.hpp>
#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/wire/automation_json.hpp>

#include <algorithm>

namespace fuchsiagw::daemon {

namespace {

using std::chrono::milliseconds;

/// For this time only the daemon that acquired the token orders promotions of the service.
constexpr std::int64_t promotionLeaseMs = 3'000;
constexpr const char *promotionTable = "promotions";

const adapter::store_row *findRow(const adapter::store_rows &rows, std::string_view table,
                                  std::string_view key)
{
    const auto found = std::find_if(rows.rows.begin(), rows.rows.end(), [&](const auto &each) {
        return each.key == key && (each.table.empty() || each.table == table);
    });
    return found == rows.rows.end() ? nullptr : &*found;
}

/// @return what the status of a response says of an order; a failure of the server says nothing
proxy::promote_outcome outcomeOf(int status)
{
    constexpr int firstServerFailure = 500;
    if (status == statusOk)
        return proxy::promote_outcome::Ordered;
    if (status == statusConflict)
        return proxy::promote_outcome::FencedOff;
    const bool isDone = status < firstServerFailure || status == statusUnavailable;
    return isDone ? proxy::promote_outcome::Refused : proxy::promote_outcome::NoAnswer;
}

} // namespace

void store_client::acquireFencingToken(const std::string &service)
{
    dropUnreportedTokens(service);
    if (promotionsAllowed_) {
        readPromotion(service);
        return;
    }
    call(store_purpose::Promotion,
         adapter::readRow(wire::automationTable, std::string(wire::promotionSwitchKey)),
         callTimeout, [this, service](const store_answer &answer) {
             const auto rows = rowsOf(answer);
             if (!rows) {
                 callbacks_.onTokenAcquired(service, 0, {});
                 return;
             }
             applyPromotionSwitch(*rows);
             if (promotionsAllowed_)
                 readPromotion(service);
             else
                 callbacks_.onPromotionsDisabled(service);
         });
}

void store_client::readPromotion(const std::string &service)
{
    call(store_purpose::Promotion, adapter::readRow(promotionTable, service), callTimeout,
         [this, service](const store_answer &answer) {
             const auto rows = rowsOf(answer);
             if (rows)
                 claimPromotion(service, *rows);
             else
                 callbacks_.onTokenAcquired(service, 0, {});
         });
}

void store_client::readOpenOrders(const std::string &service)
{
    call(store_purpose::Promotion, adapter::readRow(promotionTable, service), callTimeout,
         [this, service](const store_answer &answer) {
             const auto rows = rowsOf(answer);
             if (!rows)
                 return;
             const adapter::store_row *row = findRow(*rows, promotionTable, service);
             callbacks_.onOpenOrdersRead(service,
                                         row == nullptr ? proxy::open_orders{}
                                                        : wire::readPromotionRow(row->value).orders,
                                         row == nullptr ? 0 : row->version);
         });
}

/// @return how long a lease may still last that another daemon drew before the store returned from
/// an older copy, and that its row may not show
std::int64_t store_client::unprovenLeaseMs(const std::string &service,
                                           std::int64_t storeClockMs) const
{
    const auto own = promotionRows_.find(service);
    if (own != promotionRows_.end() && own->second.row.leaseUntilMs > storeClockMs)
        return 0; // the lease is this daemon's own
    const core::duration remaining =
            eraChangedAt_ + milliseconds(promotionLeaseMs) - net::currentBootTime();
    return eraChangedAt_ == core::time_point{} ? 0
                                               : std::chrono::ceil<milliseconds>(remaining).count();
}

void store_client::applyPromotionSwitch(const adapter::store_rows &rows)
{
    const adapter::store_row *row = findRow(rows, wire::automationTable, wire::promotionSwitchKey);
    switchVersion_ = row == nullptr ? 0 : row->version;
    promotionsAllowed_ = row == nullptr || wire::readSwitch(row->value).allowed;
}

void store_client::claimPromotion(const std::string &service, const adapter::store_rows &rows)
{
    core::store_version version = 0;
    std::int64_t remainingMs = unprovenLeaseMs(service, rows.storeClockMs);
    own_promotion_row claimed;
    if (const adapter::store_row *row = findRow(rows, promotionTable, service)) {
        version = row->version;
        // A row that can't be read holds no lease; the compare-and-set below still excludes two
        // holders.
        const wire::promotion_row present = wire::readPromotionRow(row->value);
        if (present.holder != values_.instance)
            remainingMs = std::max(remainingMs, present.leaseUntilMs - rows.storeClockMs);
        claimed.row.orders = present.orders;
    }
    if (remainingMs > 0) {
        callbacks_.onTokenHeldElsewhere(service,
                                        milliseconds(std::min(remainingMs, promotionLeaseMs)),
                                        claimed.row.orders, version);
        return;
    }
    claimed.row.holder = values_.instance;
    claimed.row.leaseUntilMs = rows.storeClockMs + promotionLeaseMs;
    promotionRows_.erase(service);
    // The transaction also checks the switch's version, so that no promotion attempt starts after
    // the operator's change of the switch was acknowledged.
    adapter::row_change switchUnchanged;
    switchUnchanged.table = wire::automationTable;
    switchUnchanged.key = wire::promotionSwitchKey;
    switchUnchanged.expectedVersion = switchVersion_;
    switchUnchanged.checkedOnly = true;
    call(store_purpose::Promotion,
         adapter::changeRows({ switchUnchanged,
                               { promotionTable, service, version, wire::toJson(claimed.row) } }),
         callTimeout,
         [this, service, claimed,
          readIn = core::eraOf(rows.version)](const store_answer &answer) mutable {
             const auto written = adapter::decodeRows(answer.body, answer.era);
             if (answer.status == statusConditionFailed && written) {
                 onClaimConflict(service, *written);
                 return;
             }
             // In a later era the row that was compared may be another one with the same number.
             if (answer.status != statusOk || !written || core::eraOf(written->version) != readIn) {
                 callbacks_.onTokenAcquired(service, 0, {});
                 return;
             }
             // Versions increase strictly, also across eras, so the version serves as the fencing
             // token.
             claimed.token = written->version;
             claimed.version = written->version;
             const proxy::open_orders orders = claimed.row.orders;
             promotionRows_[service] = std::move(claimed);
             reportWithMembers({ service, written->version, orders, false });
         });
}

void store_client::recordOrders(const std::string &service, std::uint64_t token,
                                const proxy::open_orders &orders)
{
    const auto found = promotionRows_.find(service);
    if (found == promotionRows_.end() || found->second.token != token) {
        callbacks_.onOrdersRecorded(service, token, false);
        return;
    }
    own_promotion_row next = std::move(found->second);
    // Until the answer comes, the row's version is unknown.
    promotionRows_.erase(found);
    next.row.orders = orders;
    call(store_purpose::Promotion,
         adapter::changeRows({ { promotionTable, service, next.version, wire::toJson(next.row) } }),
         callTimeout, [this, service, token, next](const store_answer &answer) mutable {
             const auto written = rowsOf(answer);
             const bool isRecorded =
                     written && core::eraOf(written->version) == core::eraOf(next.version);
             if (isRecorded) {
                 next.version = written->version;
                 promotionRows_[service] = std::move(next);
             }
             callbacks_.onOrdersRecorded(service, token, isRecorded);
         });
}

/// Handles a lost compare-and-set: another daemon wrote the lease first, or the operator has
/// changed the switch since it was last read.
void store_client::onClaimConflict(const std::string &service, const adapter::store_rows &present)
{
    const core::store_version previousVersion = switchVersion_;
    applyPromotionSwitch(present);
    if (!promotionsAllowed_)
        callbacks_.onPromotionsDisabled(service);
    else if (switchVersion_ != previousVersion)
        readPromotion(service);
    else
        callbacks_.onTokenAcquired(service, 0, {});
}

void store_client::promote(const proxy::order_promotion &order)
{
    countCall(store_purpose::Promotion);
    httpClient_.call(values_.promotionAddress,
                     adapter::promote(order.service, order.member, values_.instance, order.token),
                     net::currentTime() + callTimeout, [this, order](net::http_exchange &&result) {
                         const proxy::promote_outcome outcome =
                                 result.error ? proxy::promote_outcome::NoAnswer
                                              : outcomeOf(result.response.status);
                         if (!isStopped_)
                             callbacks_.onPromoteAnswer(order, outcome);
                     });
}

} // namespace fuchsiagw::daemon
