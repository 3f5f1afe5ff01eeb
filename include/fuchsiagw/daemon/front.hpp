/// @file
/// @brief The duty that speaks HTTP with callers.

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

/// Lives on the thread of its context, apart from the flags.
class front
{
public:
    /// Hands a request to the decisions; false if their ring is full.
    using request_sink = std::function<bool(core::caller_request &&)>;

    front(boost::asio::io_context &context, const settings &values, wire::token_keys tokens,
          request_sink sink);

    /// @brief Binds the callers' port.
    [[nodiscard]] std::error_code start();

    /// @brief Answers a request. A ticket that is not known, because its caller has gone, is
    /// ignored.
    void onReply(core::caller_reply &reply);

    /// @brief Takes no new connections and closes the others after their next answer.
    void drain();

    /// @return whether requests are accepted; any thread may ask
    [[nodiscard]] bool isReady() const { return isReady_ && !isDraining_; }

    /// @return what this duty counts, published each second; one thread may read it
    [[nodiscard]] snapshot_buffer<metrics> &published() { return published_; }

    void setReady(bool ready) { isReady_ = ready; }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    /// @return requests that wait for an answer; any thread may ask
    [[nodiscard]] std::size_t waiting() const { return waiting_; }

private:
    struct open_request
    {
        net::http_responder reply;
        core::time_point arrivedAt;
        core::statement_kind kind = core::statement_kind::Read;
        bool mayUseReplica = false;
    };

    void publish();
    void count(const open_request &request, const core::caller_reply &reply);
    void onRequest(net::http_request &&request, net::http_responder &&reply);
    void handleStatement(const net::http_request &request, net::http_responder &&reply);
    void answer(net::http_responder &reply, net::http_response &&response);
    void refuse(net::http_responder &reply, core::error_kind kind, std::string_view problem,
                const core::request_id &id);

    settings settings_;
    wire::token_keys tokens_;
    request_sink sink_;
    net::http_server server_;
    boost::asio::steady_timer timer_;
    core::random_engine random_;
    metrics counts_;
    snapshot_buffer<metrics> published_;
    std::unordered_set<net::connection_number> connections_; ///< that have sent a request
    std::unordered_map<std::uint64_t, open_request> open_; ///< by ticket
    std::uint64_t nextTicket_ = 1;
    std::atomic<bool> isReady_{ false };
    std::atomic<bool> isDraining_{ false };
    std::atomic<std::size_t> waiting_{ 0 };
};

} // namespace fuchsiagw::daemon
