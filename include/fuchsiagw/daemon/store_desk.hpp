/// @file
/// @brief Reads the manifest, the members and the daemons from the platform's store, and makes the
/// calls that decide who promotes.

#pragma once

#include <fuchsiagw/daemon/session_settings.hpp>
#include <fuchsiagw/net/http_client.hpp>
#include <fuchsiagw/proxy/engine.hpp>

#include <platform/store_codec.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fuchsiagw::daemon {

/// Another daemon and where it is reached.
struct listed_instance
{
    std::string node;
    std::string zone;
    std::string address; ///< IP number
};

struct store_events
{
    std::function<void(std::shared_ptr<const proxy::manifest>)> manifest;
    std::function<void(const std::vector<proxy::listed_member> &)> members;
    std::function<void(const std::vector<listed_instance> &)> instances;
    /// The own row was missing, so the other daemons do not know this one yet.
    std::function<void()> joined;
    std::function<void(const std::string &service, std::uint64_t token)> token;
    /// No token was drawn, as the operator has switched promotions off.
    std::function<void(const std::string &service)> promotionsOff;
    std::function<void(const std::string &service, proxy::promote_outcome)> promoted;
    /// A log line about the store itself.
    std::function<void(std::string_view what, std::string_view detail)> note;
};

/// Counts of calls, for the metrics.
struct store_counters
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytesReceived = 0;
};

/// Lives on one context's thread.
class store_desk
{
public:
    store_desk(boost::asio::io_context &context, const session_settings &values,
               store_events events);

    void start();
    void stop() { stopped_ = true; }
    /// @brief Reads the list of members anew, unless that was done a moment ago.
    void refreshMembers();
    void drawToken(const std::string &service);
    void promote(const std::string &service, const std::string &member, std::uint64_t token);
    /// @brief Removes the row of a daemon that is gone for good.
    void removeInstance(const std::string &node);

    [[nodiscard]] const store_counters &counters() const { return counters_; }

private:
    using answer_handler = std::function<void(int status, const std::string &body)>;

    void call(const net::http_request &request, std::chrono::milliseconds limit,
              answer_handler done);
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
    void registerSelf();
    [[nodiscard]] std::string ownRow() const;
    void readInstances();
    void followInstances();
    void takeInstances(const std::vector<adapter::store_row> &rows);
    /// What has to be read before a token is drawn.
    struct token_attempt
    {
        std::optional<adapter::store_rows> promotions;
        std::optional<adapter::store_rows> automation;
        int outstanding = 0; ///< calls
    };
    void readForToken(const std::string &service, const std::shared_ptr<token_attempt> &attempt,
                      const net::http_request &request,
                      std::optional<adapter::store_rows> token_attempt::*into);
    void claimPromotion(const std::string &service, const token_attempt &attempt);

    boost::asio::io_context &context_;
    session_settings values_;
    store_events events_;
    net::http_client client_;
    core::random_engine random_;
    store_counters counters_;
    std::uint64_t manifestSeen_ = 0; ///< version of the store up to which manifests were read
    std::uint64_t instancesSeen_ = 0;
    int manifestFailures_ = 0;
    int instanceFailures_ = 0;
    int memberFailures_ = 0;
    bool reachable_ = true;
    bool stopped_ = false;
    core::time_point lastMemberRead_{};
    std::uint64_t membersSeen_ = 0;
    std::uint64_t memberLoop_ = 0; ///< a loop that was started before a newer one ends
    std::map<std::string, proxy::listed_member> members_;
    std::map<std::string, listed_instance> instances_;
};

} // namespace fuchsiagw::daemon
