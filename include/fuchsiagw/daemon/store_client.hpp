/// @file
/// @brief Reads the manifest, the members and the daemons from the platform's store, and makes the
/// calls that decide who promotes.

#pragma once

#include <fuchsiagw/daemon/session_settings.hpp>
#include <fuchsiagw/net/http_client.hpp>
#include <fuchsiagw/proxy/engine.hpp>
#include <fuchsiagw/wire/instance_row.hpp>

#include <platform/store_codec.hpp>

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::daemon {

/// Another daemon and where it is reached.
struct listed_instance
{
    std::string node;
    wire::instance_row row;
    std::uint64_t version = 0; ///< of the store's row
};

struct store_events
{
    std::function<void(std::shared_ptr<const proxy::manifest>)> manifest;
    std::function<void(const std::vector<proxy::listed_member> &)> members;
    std::function<void(const std::vector<listed_instance> &)> instances;
    std::function<void(const std::string &service, std::uint64_t token)> token;
    /// Another daemon acts alone for this time.
    std::function<void(const std::string &service, std::chrono::milliseconds)> tokenHeld;
    /// No token was drawn, as the operator has switched promotions off.
    std::function<void(const std::string &service)> promotionsOff;
    std::function<void(const std::string &service, proxy::promote_outcome)> promoted;
    /// A log line about the store itself.
    std::function<void(std::string_view what, std::string_view detail)> note;
};

/// What a call to the platform is for.
enum class store_purpose : std::uint8_t { Manifest, Members, Instances, Promotion };

inline constexpr std::array<std::string_view, 4> storePurposeNames{ "manifest", "members",
                                                                    "instances", "promotion" };

/// Counts of calls, for the metrics.
struct store_counters
{
    std::array<std::uint64_t, storePurposeNames.size()> calls{};
    std::uint64_t failures = 0;
    std::uint64_t bytesReceived = 0;
};

/// Lives on one context's thread.
class store_client
{
public:
    store_client(boost::asio::io_context &context, const session_settings &values,
                 store_events events);

    void start();
    void stop() { stopped_ = true; }
    /// @brief Reads the list of members anew, unless that was done a moment ago.
    void refreshMembers();
    /// @brief Reads the manifest anew, unless that was done a moment ago.
    void refreshManifest();
    /// @brief A daemon that watches asks for a new manifest at short intervals.
    void setWatching(bool watching) { watching_ = watching; }
    void drawToken(const std::string &service);
    void promote(const std::string &service, const std::string &member, std::uint64_t token);
    /// @brief Writes the own row, unless it was changed since it was read, and reads the list
    /// again.
    /// @param part of every limit, in millionths
    void claim(std::int64_t part, std::uint64_t incarnation);

    [[nodiscard]] const store_counters &counters() const { return counters_; }

private:
    using answer_handler = std::function<void(int status, const std::string &body)>;

    void call(store_purpose purpose, const net::http_request &request,
              std::chrono::milliseconds limit, answer_handler done);
    void countCall(store_purpose purpose);
    void after(std::chrono::milliseconds pause, std::function<void()> next);
    std::chrono::milliseconds backoff(int failures);
    void noteOutcome(bool reached);

    void readManifest();
    void followManifest();
    void takeManifest(const std::vector<adapter::store_row> &rows);
    void readMembers();
    void readMembers(const std::string &from, std::map<std::string, proxy::listed_member> &&list);
    void followMembers();
    void takeMembers(const std::vector<adapter::store_row> &rows);
    void reportMembers();
    void readInstances();
    void readInstances(const std::string &from, std::map<std::string, listed_instance> &&list);
    void followInstances(std::uint64_t loop);
    void takeInstances(const std::vector<adapter::store_row> &rows);
    void reportInstances();
    void readPromotion(const std::string &service);
    void claimPromotion(const std::string &service, const adapter::store_rows &rows);
    void onClaimConflict(const std::string &service, const adapter::store_rows &present);
    void takeSwitch(const adapter::store_rows &rows);

    boost::asio::io_context &context_;
    session_settings values_;
    store_events events_;
    net::http_client client_;
    core::random_engine random_;
    store_counters counters_;
    std::uint64_t manifestSeen_ = 0; ///< version of the store up to which manifests were read
    std::uint64_t manifestLoop_ = 0; ///< a loop that was started before a newer one ends
    core::time_point lastManifestRead_{};
    bool watching_ = false;
    std::uint64_t instancesSeen_ = 0;
    std::uint64_t instanceLoop_ = 0; ///< a loop that was started before a newer one ends
    bool claiming_ = false; ///< until the list is read again
    int manifestFailures_ = 0;
    int instanceFailures_ = 0;
    int memberFailures_ = 0;
    bool reachable_ = true;
    /// The operators' switch as it was last read; each claim compares its version.
    bool promotionsAllowed_ = true;
    std::uint64_t switchVersion_ = 0; ///< 0: it was never set
    bool stopped_ = false;
    core::time_point lastMemberRead_{};
    std::uint64_t membersSeen_ = 0;
    std::uint64_t memberLoop_ = 0; ///< a loop that was started before a newer one ends
    std::map<std::string, proxy::listed_member> members_;
    std::map<std::string, listed_instance> instances_;
};

} // namespace fuchsiagw::daemon
