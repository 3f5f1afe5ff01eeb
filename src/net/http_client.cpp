/// @file
/// @brief Connection reuse between single HTTP calls.

#include <utility>

#include <fuchsiagw/net/http_client.hpp>

namespace fuchsiagw::net {

namespace {

constexpr std::size_t maxIdlePerPeer = 2;

} // namespace

void http_client::call(const endpoint &peer, const http_request &request, core::time_point deadline,
                       http_connection::exchange_handler done,
                       const std::optional<response_transfer> &transfer)
{
    const std::string name = toString(peer);
    auto &idleConnections = idle_[name];
    while (!idleConnections.empty()) {
        const auto connection = idleConnections.back();
        idleConnections.pop_back();
        if (connection->isReusable()) {
            run(name, connection, request, deadline, std::move(done), transfer);
            return;
        }
    }
    const auto connection = http_connection::create(context_, peer);
    connection->connect(deadline, [this, name, connection, request, deadline,
                                   done = std::move(done), transfer](std::error_code error) {
        if (error)
            done({ error, false, {} });
        else
            run(name, connection, request, deadline, done, transfer);
    });
}

void http_client::run(const std::string &name, const std::shared_ptr<http_connection> &connection,
                      const http_request &request, core::time_point deadline,
                      http_connection::exchange_handler done,
                      const std::optional<response_transfer> &transfer)
{
    // The connection stores this handler, so a strong reference to it would be a cycle, which stays
    // if the context is destroyed during the exchange. The pending operation keeps the connection.
    connection->exchange(
            request, deadline,
            [this, name, weak = std::weak_ptr(connection),
             done = std::move(done)](http_exchange &&result) {
                const auto used = weak.lock();
                auto &idleConnections = idle_[name];
                if (used && used->isOpen() && idleConnections.size() < maxIdlePerPeer)
                    idleConnections.push_back(used);
                done(std::move(result));
            },
            transfer);
}

http_exchange callAndWait(const endpoint &peer, const http_request &request,
                          core::time_point deadline)
{
    boost::asio::io_context context;
    http_client client(context);
    http_exchange outcome;
    client.call(peer, request, deadline, [&](http_exchange &&result) {
        outcome = std::move(result);
        client.closeIdle();
    });
    context.run();
    return outcome;
}

} // namespace fuchsiagw::net
