/// @file
/// @brief Client of the platform's store: follows the manifest and the lists of members and
/// daemons, and acquires fencing tokens for promotions.

#pragma once

#include <fuchsiagw/core/store_version.hpp>
#include <fuchsiagw/daemon/read_pacing.hpp>
#include <fuchsiagw/daemon/session_settings.hpp>
#include <fuchsiagw/net/http_client.hpp>
#include <fuchsiagw/proxy/engine.hpp>
#include <fuchsiagw/proxy/manifest_sync.hpp>
#include <fuchsiagw/wire/instance_row.hpp>
#include <fuchsiagw/wire/promotion_row.hpp>

#include <platform/store_codec.hpp>

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::daemon {

/// A daemon's row in the list of instances.
struct listed_instance
{
    std::string node;
    wire::instance_row row;
    core::store_version version = 0; ///< of the row in the store
};

struct store_callbacks
{
    std::function<void(std::shared_ptr<const proxy::manifest>, proxy::manifest_source)> onManifest;
    /// Called when the store or another daemon has proven that no manifest newer than the one that
    /// was handed over last existed at a time, and when a newer one has become known.
    std::function<void(const proxy::manifest_sync &)> onManifestChecked;
    /// Called with the evacuated zones and the store's version as of which the set is complete.
    std::function<void(const std::set<std::string> &, std::uint64_t)> onEvacuations;
    std::function<void(const std::vector<proxy::listed_member> &)> onMembers;
    std::function<void(const std::vector<listed_instance> &)> onInstances;
    /// Called with the orders that were open when the token was acquired; token 0: none acquired.
    /// The list of members that onMembers got last is as of a moment after the token.
    std::function<void(const std::string &service, std::uint64_t token, const proxy::open_orders &)>
            onTokenAcquired;
    /// Called with the open orders in a service's row and the version of the store as of which they
    /// are open; not called if the row could not be read.
    std::function<void(const std::string &service, const proxy::open_orders &,
                       std::uint64_t version)>
            onOpenOrdersRead;
    /// Called with false if another daemon has acquired a token since, or if no answer came.
    std::function<void(const std::string &service, std::uint64_t token, bool isRecorded)>
            onOrdersRecorded;
    /// Another daemon holds the promotion lease for the given remaining time; with the open orders
    /// and the version of the row in which they stand.
    std::function<void(const std::string &service, std::chrono::milliseconds,
                       const proxy::open_orders &, std::uint64_t version)>
            onTokenHeldElsewhere;
    /// No token was acquired because the operator has disabled promotions.
    std::function<void(const std::string &service)> onPromotionsDisabled;
    std::function<void(const proxy::order_promotion &, proxy::promote_outcome)> onPromoteAnswer;
    /// Called with a log event when the store becomes unreachable or reachable again, or when the
    /// manifest can't be decoded.
    std::function<void(std::string_view name, std::string_view detail)> onStoreEvent;
};

/// A group's promotion row, as this daemon wrote it last.
struct own_promotion_row
{
    wire::promotion_row row;
    core::store_version token = 0; ///< version of the change that acquired the lease
    core::store_version version = 0; ///< of the row in the store
};

/// The rows of the members' table.
struct member_list
{
    std::map<std::string, proxy::listed_member> rows; ///< by key
    core::store_version version = 0; ///< of the store; contains all changes up to it; 0: not read
};

/// A fencing token that is reported once the list of members is as of a later moment.
struct unreported_token
{
    std::string service;
    std::uint64_t token = 0;
    proxy::open_orders orders;
    bool isReplaced = false; ///< a later request makes the report obsolete
};

/// Purpose of a call to the platform.
enum class store_purpose : std::uint8_t { Manifest, Members, Instances, Promotion };

inline constexpr std::array<std::string_view, 4> storePurposeNames{ "manifest", "members",
                                                                    "instances", "promotion" };

/// Response of the store to one call.
struct store_answer
{
    int status = 0; ///< of HTTP; 0: no response
    std::string body;
    core::store_era era = 0; ///< of the store when it answered
};

struct store_counters
{
    std::array<std::uint64_t, storePurposeNames.size()> calls{};
    std::uint64_t failures = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t unreadableRows = 0; ///< versions of rows that could not be read
    std::uint64_t failedManifestReads = 0;
    std::uint64_t eraChanges = 0; ///< returns of the store from an older copy
    std::uint64_t reopenedFeeds = 0; ///< calls that missed a change of the manifest's table
};

/// State of the call that waits for changes of the manifest's table.
struct manifest_feed
{
    core::store_version version = 0; ///< of the store; all changes up to it were read
    core::store_version lastChange = 0; ///< greatest version of a row that was read
    std::uint64_t call = 0; ///< number of the call that goes on with the next one
    bool isOpen = false; ///< that call is in progress
    core::time_point reopenableAt{}; ///< a call that seems to hang is given up from then on
};

/// Not thread-safe; runs on the thread of its I/O context.
class store_client
{
public:
    store_client(boost::asio::io_context &context, const session_settings &values,
                 store_callbacks callbacks);

    void start();
    void stop() { isStopped_ = true; }
    /// @brief Reads the list of members again, limited to one read per
    /// read_pacing::minMemberReadInterval.
    void refreshMembers();
    /// @brief Reads the manifest if the feed does not deliver it soon.
    /// @param version newest version that another daemon has
    void refreshManifest(std::uint64_t version);
    /// @brief Takes over a proof of another daemon, so that this one need not read the store.
    /// @param version of the manifest that was the newest at @p provenAt
    void confirmManifest(std::uint64_t version, core::time_point provenAt);
    /// @brief Sets this daemon's place among those that read the store to prove its manifest.
    void setReaderRank(std::size_t rank) { readerRank_ = rank; }
    void acquireFencingToken(const std::string &service);
    void readOpenOrders(const std::string &service);
    /// @brief Records the open orders of a service, if its row is as this daemon wrote it last.
    void recordOrders(const std::string &service, std::uint64_t token,
                      const proxy::open_orders &orders);
    void promote(const proxy::order_promotion &order);
    /// @brief Writes this instance's row if its version is still the one that was read last, then
    /// reads the list of instances again. Does nothing while an earlier claim is in progress.
    /// @param part claimed part of every limit, in millionths
    void claim(std::int64_t part, std::uint64_t incarnation);

    [[nodiscard]] const store_counters &counters() const { return counters_; }
    [[nodiscard]] const proxy::manifest_sync &manifestSync() const { return manifestSync_; }

private:
    using response_handler = std::function<void(const store_answer &)>;
    /// Called with nothing if the list could not be read.
    using member_list_handler = std::function<void(std::optional<member_list> &&)>;

    /// @param timeout for the first part of the response; that of a read may arrive in parts
    /// @param onPart called when a part has arrived; may be empty
    void call(store_purpose purpose, const net::http_request &request,
              std::chrono::milliseconds timeout, response_handler done,
              const std::function<void()> &onPart = {});
    void countCall(store_purpose purpose);
    void runAfter(std::chrono::milliseconds waitTime, std::function<void()> task);
    std::chrono::milliseconds backoff(int failures);
    void updateReachability(bool isReached);
    void checkFeedsAfterSilence(bool isTimeout, bool isServed);
    [[nodiscard]] read_pacing pacing() const;
    void handleResponse(const response_handler &done, const store_answer &answer);
    [[nodiscard]] core::store_era trackEra(const net::http_response &response);
    void beginEra(core::store_era era);
    void reportEra(std::string_view event, std::string_view era);
    [[nodiscard]] std::int64_t unprovenLeaseMs(const std::string &service,
                                               std::int64_t storeClockMs) const;
    std::optional<listed_instance> decodeInstance(const adapter::store_row &row);
    std::optional<proxy::listed_member> decodeMember(const adapter::store_row &row);
    void reportUnreadable(const adapter::store_row &row, std::string_view event = "row_unreadable");

    [[nodiscard]] core::duration proofLifetime() const;
    void stepManifest();
    void readManifestChanges();
    void readManifestTable(const std::string &from, adapter::store_rows &&rowsBefore);
    void onManifestReadFailed(int status);
    void onManifestReadAnswered(proxy::manifest_read kind, std::uint64_t versionBefore);
    void followManifest();
    void onFeedAnswered(std::uint64_t number, core::time_point sentAt, const store_answer &answer);
    void readManifestAnew();
    void reopenFeedIfHung();
    /// Takes over rows that have changed; an answer may be late and contain older ones.
    void applyManifestChanges(const adapter::store_rows &changes, proxy::manifest_source source);
    void applyManifestTable(const adapter::store_rows &table);
    void applyManifestRow(const adapter::store_row &row, proxy::manifest_source source);
    void reportFailedRead(core::time_point sentAt, int status);
    void reportUnusableNames(const proxy::manifest &manifest);
    void readMembers();
    void readMemberPages(const std::string &from, member_list &&list,
                         std::optional<std::uint64_t> generation, member_list_handler done);
    void followMembers();
    void applyMemberList(member_list &&list);
    void applyMemberChanges(const adapter::store_rows &changes);
    void reportMembers();
    void reportWithMembers(unreported_token &&token);
    void dropUnreportedTokens(const std::string &service);
    void readMembersForTokens();
    void readMemberListForTokens();
    void reportTokens(core::store_version listVersion, bool hasMore);
    void reportToken(const unreported_token &token, bool isCovered);
    void readInstances();
    void readInstances(const std::string &from, std::map<std::string, listed_instance> &&list);
    void followInstances(std::uint64_t generation);
    void applyInstanceRows(const std::vector<adapter::store_row> &rows);
    void reportInstances();
    void readPromotion(const std::string &service);
    void claimPromotion(const std::string &service, const adapter::store_rows &rows);
    void onClaimConflict(const std::string &service, const adapter::store_rows &present);
    void applyPromotionSwitch(const adapter::store_rows &rows);

    boost::asio::io_context &context_;
    session_settings values_;
    store_callbacks callbacks_;
    net::http_client httpClient_;
    core::random_engine random_;
    store_counters counters_;
    std::map<std::string, own_promotion_row> promotionRows_; ///< by service, while it is valid
    proxy::manifest_sync manifestSync_;
    manifest_feed manifestFeed_;
    std::set<std::string> evacuatedZones_; ///< as of manifest_feed::version
    boost::asio::steady_timer manifestTimer_; ///< of the next read that does not wait
    std::size_t readerRank_ = 0;
    core::store_version instanceFeedVersion_ = 0;
    std::uint64_t instanceGeneration_ = 0; ///< callbacks of older generations are ignored
    bool isClaiming_ = false; ///< until the next read of the list of instances starts
    int instanceFailures_ = 0;
    int memberFailures_ = 0;
    bool isReachable_ = true;
    std::optional<core::store_era> era_; ///< latest era that an answer named; none: no answer yet
    /// When this daemon noticed the latest change of the era; leases that other daemons drew before
    /// may be missing in the store.
    core::time_point eraChangedAt_{};
    std::string reportedEra_; ///< latest value of the header that was logged as unusable
    bool wasSilent_ = false; ///< a call has timed out since the last answer
    bool isReadingMembers_ = false;
    bool isFollowingMembers_ = false; ///< a call of the members' feed is in progress
    bool isFollowingInstances_ = false; ///< a call of the instances' feed is in progress
    /// Operator's switch for promotions as last read; each token request checks its version.
    bool promotionsAllowed_ = true;
    core::store_version switchVersion_ = 0; ///< 0: the row does not exist
    bool isStopped_ = false;
    std::map<std::string, std::uint64_t> unreadableRows_; ///< version last logged, by key
    core::time_point lastMemberRead_{};
    std::uint64_t memberGeneration_ = 0; ///< callbacks of older generations are ignored
    member_list members_; ///< its version never decreases
    std::deque<unreported_token> unreportedTokens_;
    /// Number of unreported tokens, from the oldest on, that were acquired before the read of the
    /// members in flight was sent; 0: none is in flight.
    std::size_t tokensBeforeRead_ = 0;
    std::map<std::string, listed_instance> instances_;
};

} // namespace fuchsiagw::daemon
