/// @file
/// @brief HTTP server for callers.

#pragma once

#include <fuchsiagw/core/gateway.hpp>
#include <fuchsiagw/daemon/metrics.hpp>
#include <fuchsiagw/daemon/settings.hpp>
#include <fuchsiagw/daemon/snapshot_buffer.hpp>
#include <fuchsiagw/net/http_server.hpp>
#include <fuchsiagw/wire/caller_json.hpp>
#include <fuchsiagw/wire/session_token.hpp>

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace fuchsiagw::daemon {

/// Every function must be called on the thread of the context, unless its comment says otherwise.
class caller_server
{
public:
    /// Time for callers to receive their last answers; several retransmissions of a lost packet.
    static constexpr core::duration lastAnswerLimit = std::chrono::seconds(3);

    /// Passes a request to the gateway's thread; returns false if its queue is full.
    using request_sink = std::function<bool(core::caller_request &&)>;

    caller_server(boost::asio::io_context &context, const settings &values, wire::token_keys tokens,
                  request_sink sink);

    /// @brief Binds the callers' address and starts to accept connections.
    [[nodiscard]] std::error_code start();

    /// @brief Answers the request that has the ticket of @p reply. An unknown
    /// ticket is ignored: its caller has disconnected.
    void onReply(core::caller_reply &reply);

    /// @brief Stops accepting connections; an open one is closed after its next answer.
    void drain();

    /// @brief Refuses further statements, waits until @p answersDue for the answers to the accepted
    /// ones, and ends all connections.
    /// @param done receives the number of statements whose answer did not come; it is called when
    /// the callers have their answers, at the latest lastAnswerLimit after @p answersDue
    void close(core::time_point answersDue, std::function<void(std::size_t)> done);

    /// @return whether the instance is ready and not draining; any thread may call it
    [[nodiscard]] bool isReady() const { return isReady_ && !isDraining_; }

    /// @return metrics of this server, published every second; one other thread may read them
    [[nodiscard]] snapshot_buffer<metrics> &published() { return published_; }

    void setReady(bool ready) { isReady_ = ready; }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    /// @return number of requests that wait for an answer; any thread may call it
    [[nodiscard]] std::size_t openRequestCount() const { return openRequestCount_; }

private:
    struct open_request
    {
        net::http_responder reply;
        core::time_point arrivedAt;
        core::statement_kind kind = core::statement_kind::Read;
        bool mayUseReplica = false;
    };

    void publish();
    void awaitAnswers();
    void count(const open_request &request, const core::caller_reply &reply);
    void onRequest(net::http_request &&request, net::http_responder &&reply);
    void handleStatement(const net::http_request &request, net::http_responder &&reply);
    void answer(net::http_responder &reply, net::http_response &&response);
    void refuse(net::http_responder &reply, core::error_kind kind, std::string_view problem,
                const core::request_id &id);

    settings settings_;
    wire::token_keys tokens_;
    request_sink requestSink_;
    net::http_server server_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer closeTimer_;
    core::time_point answersDue_ = core::noDeadline;
    std::function<void(std::size_t)> onClosed_; ///< set from close() until the last answer
    bool isClosing_ = false;
    core::random_engine random_;
    metrics counts_;
    snapshot_buffer<metrics> published_;
    std::unordered_set<net::connection_number>
            connections_; ///< open connections that have sent a request
    std::unordered_map<std::uint64_t, open_request> openRequests_; ///< by ticket
    std::uint64_t nextTicket_ = 1;
    std::atomic<bool> isReady_{ false };
    std::atomic<bool> isDraining_{ false };
    std::atomic<std::size_t> openRequestCount_{ 0 };
};

} // namespace fuchsiagw::daemon
