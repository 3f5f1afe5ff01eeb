/// @file
/// @brief Lends this daemon's connections to members to the other daemons.
///
/// A borrower connects and speaks the members' protocol, as if this daemon were the member: it
/// opens with the member's id and its workspace and gets a connection that was opened for them
/// before. Lines pass unchanged in both directions. At the end the connection is rolled back if it
/// has an open transaction, is cleaned, and waits for the next borrower.

#pragma once

#include <fuchsiagw/daemon/session_log.hpp>
#include <fuchsiagw/net/endpoint.hpp>
#include <fuchsiagw/net/line_connection.hpp>
#include <fuchsiagw/proxy/engine.hpp>
#include <fuchsiagw/proxy/relay_pool.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace fuchsiagw::daemon {

struct relay_counters
{
    std::uint64_t lent = 0;
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
};

/// Lives on one context's thread; reads members and limits from the engine, and changes nothing
/// there.
class relay_server
{
public:
    relay_server(boost::asio::io_context &context, proxy::engine &engine);
    ~relay_server();
    relay_server(const relay_server &) = delete;
    relay_server &operator=(const relay_server &) = delete;

    [[nodiscard]] std::error_code start(const net::endpoint &local);
    /// @brief Refuses new borrowers.
    void stop();
    /// @return whether a borrower is being served
    [[nodiscard]] bool isBusy() const { return !borrowers_.empty(); }
    [[nodiscard]] const relay_counters &counters() const { return counters_; }

private:
    struct borrower;
    struct pooled;

    void accept();
    void onBorrowerLine(proxy::borrower_id id, std::string_view line);
    void onBorrowerGone(proxy::borrower_id id);
    void onMemberLine(proxy::pooled_id id, std::string_view line);
    void onMemberGone(proxy::pooled_id id);
    void borrow(proxy::borrower_id id, const std::string &memberId, const std::string &workspace);
    void open(const std::string &memberId, const std::string &workspace);
    void lend(proxy::borrower_id borrowerId, proxy::pooled_id pooledId);
    void clean(proxy::pooled_id id);
    void closePooled(proxy::pooled_id id, bool graceful);
    /// @param code ConnectionLimit: none is free; Misrouted: this daemon does not lend now
    void refuse(proxy::borrower_id id, proxy::reply_code code);
    void advance(const std::string &memberId);
    void closeIdle(const std::string &memberId);
    void planTick();
    void tick();

    boost::asio::io_context &context_;
    proxy::engine &engine_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    relay_counters counters_;
    core::time_point tickAt_{}; ///< of the planned tick
    bool stopping_ = false;
    std::uint64_t lastId_ = 0;
    std::map<proxy::borrower_id, std::unique_ptr<borrower>> borrowers_;
    std::map<proxy::pooled_id, std::unique_ptr<pooled>> pooled_;
    std::map<std::string, proxy::relay_pool> pools_; ///< by member
};

} // namespace fuchsiagw::daemon
