/// @file
/// @brief Relay that lends this daemon's pooled member connections to other daemons.
///
/// A borrower is a connection from another daemon. It uses the members' protocol as if this daemon
/// were the member: its startup command names the member's id and the workspace, and the relay
/// assigns it a pooled connection for them. Commands and complete replies are forwarded unchanged.
/// When the borrower disconnects, an open transaction is rolled back, the session state is
/// discarded and the connection returns to the pool, unless one of its replies may come again.
///
/// When the relay closes the connection of a borrower on which it owes no reply, it sends TERMINATE
/// first: what it has not replied to by then is not forwarded.

#pragma once

#include <fuchsiagw/daemon/session_log.hpp>
#include <fuchsiagw/net/byte_budget.hpp>
#include <fuchsiagw/net/endpoint.hpp>
#include <fuchsiagw/net/line_connection.hpp>
#include <fuchsiagw/proxy/concurrency_limit.hpp>
#include <fuchsiagw/proxy/decision_note.hpp>
#include <fuchsiagw/proxy/engine.hpp>
#include <fuchsiagw/proxy/member_load.hpp>
#include <fuchsiagw/proxy/relay_pool.hpp>
#include <fuchsiagw/proxy/reply_pairing.hpp>

#include <platform/wire_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace fuchsiagw::daemon {

struct relay_counters
{
    std::uint64_t lent = 0;
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedEarly = 0; ///< their operations could not have started in time
};

/// What a relay knows of the load of one of its members.
struct relayed_member
{
    proxy::concurrency_limit limit;
    proxy::load_announcement announcement;
    std::uint64_t refusedEarly = 0; ///< of the pool, when it was last looked at
    bool isRefusing = false; ///< operations were refused early since the last look
};

/// Not thread-safe; runs on the thread of its I/O context. Reads members and limits from the engine
/// and does not modify it.
class relay_server
{
public:
    /// Called with the member whose reply was dropped, or made its connection unusable.
    using reply_fault_handler = std::function<void(const std::string &, proxy::reply_fault)>;

    using note_handler = std::function<void(const proxy::decision_note &)>;
    using load_handler = std::function<void(const std::string &member, const proxy::member_load &)>;

    relay_server(boost::asio::io_context &context, proxy::engine &engine,
                 reply_fault_handler onReplyFault);
    ~relay_server();
    relay_server(const relay_server &) = delete;
    relay_server &operator=(const relay_server &) = delete;

    /// @brief Sets the handlers of decisions to log, and of loads that the other daemons must know.
    void setLoadHandlers(note_handler onNote, load_handler onLoad);
    /// @brief Limits the memory for what borrowers send.
    void setMemoryLimit(std::size_t bytes) { borrowerBytes_->limit = bytes; }
    [[nodiscard]] const net::byte_budget &memory() const { return *borrowerBytes_; }
    [[nodiscard]] std::error_code start(const net::endpoint &local);
    /// @brief Refuses new borrowers and closes idle connections; a second call has no effect.
    /// @param lendUntil from then on, a lent connection is closed as soon as no reply is pending
    void stop(core::time_point lendUntil);
    /// @return whether any borrower is connected, or has not closed its side yet
    [[nodiscard]] bool isBusy() const;
    [[nodiscard]] const relay_counters &counters() const { return counters_; }
    /// @return metrics of the members whose relay this is
    [[nodiscard]] std::string metricsText() const;

private:
    struct borrower;
    struct pooled;

    void accept();
    void onBorrowerLine(proxy::borrower_id id, std::string_view line);
    /// @param isInOrder whether the borrower said that it returns the connection
    void onBorrowerDisconnected(proxy::borrower_id id, bool isInOrder);
    void onMemberReply(proxy::pooled_id id, const proxy::reply &received, std::string_view text);
    void onOpened(proxy::pooled_id id, bool isAccepted);
    void onMemberDisconnected(proxy::pooled_id id);
    void requestConnection(proxy::borrower_id id, const adapter::member_startup &opening);
    void open(const std::string &memberId, const std::string &workspace);
    void lend(proxy::borrower_id borrowerId, proxy::pooled_id pooledId);
    void resetConnection(proxy::pooled_id id);
    /// @brief Closes a borrower's connection behind the last message to it.
    void closeInOrder(const std::shared_ptr<net::line_connection> &connection);
    /// @brief Tells a borrower that no further command is forwarded, and closes its connection.
    void recall(const borrower &client);
    /// @brief Recalls the connections on which nothing was asked for: the end of the process would
    /// reset them, and leave open what became of commands on their way.
    void recallUnassigned();
    /// @brief Closes a pooled connection and that of its borrower, if any.
    void closePooled(proxy::pooled_id id, bool isGraceful);
    /// @param code ConnectionLimit: no connection is free; Misrouted: the startup command is
    /// invalid, the member or its service is unknown, or the relay is stopping
    void refuse(proxy::borrower_id id, proxy::reply_code code, core::duration retryAfter = {});
    /// @brief Sends commands on a pooled connection and records them for the member's limit.
    void sendCommands(proxy::pooled_id id, std::string &&text,
                      const std::vector<proxy::reply_shape> &shapes);
    void recordReply(proxy::pooled_id id, const proxy::reply &received);
    [[nodiscard]] bool limitsMembers() const { return engine_.settings.memberLimits; }
    void logLimit(const std::string &member, const proxy::concurrency_limit &limit, double before,
                  proxy::limit_cause cause) const;
    /// @brief Announces changes of the members' loads, and logs when refusals start and end.
    void checkLoads(core::time_point now);
    void advance(std::string_view member);
    void closeIdle(const std::string &memberId);
    /// @return whether the use of a lent connection ends now, between two statements, so that none
    /// is cut by the end of the process; the member rolls back an open transaction
    [[nodiscard]] bool isRecallDue(const pooled &connection) const;
    void scheduleTick();
    void tick();

    boost::asio::io_context &context_;
    proxy::engine &engine_;
    reply_fault_handler onReplyFault_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    relay_counters counters_;
    core::time_point nextTickAt_{}; ///< when the scheduled tick is due
    bool isStopping_ = false;
    bool mayBeAsked_ = false; ///< borrowers had spare connections, and may ask until the end
    core::time_point lendUntil_ = core::noDeadline;
    std::uint64_t lastId_ = 0;
    std::map<proxy::borrower_id, std::unique_ptr<borrower>> borrowers_;
    /// Connections of borrowers that have not closed their side yet, during a shutdown. The end of
    /// the process would discard the last message to them.
    std::vector<std::weak_ptr<net::line_connection>> closing_;
    std::map<proxy::pooled_id, std::unique_ptr<pooled>> pooled_;
    std::map<std::string, proxy::relay_pool> pools_; ///< by member
    std::shared_ptr<net::byte_budget> borrowerBytes_ = std::make_shared<net::byte_budget>();
    std::map<std::string, relayed_member> members_; ///< by member; only with limits on members
    note_handler onNote_;
    load_handler onLoad_;
    core::time_point nextLoadCheckAt_{};
};

} // namespace fuchsiagw::daemon
