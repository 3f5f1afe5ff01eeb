/// @file
/// @brief Single HTTP calls over a small pool of idle connections.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/net/http_connection.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagw::net {

/// Used for control requests, for the platform and by fuchsiagwctl. Any number of calls may run
/// concurrently. Not thread-safe: used only on the thread of its context.
class http_client
{
public:
    explicit http_client(boost::asio::io_context &context)
        : context_(context)
    { }

    /// @brief Makes one call; @p done is called exactly once, no later than the deadline, or than
    /// the end of the transfer if there is one.
    /// @param transfer see http_connection::exchange()
    /// @complexity logarithmic in the number of peers
    void call(const endpoint &peer, const http_request &request, core::time_point deadline,
              http_connection::exchange_handler done,
              const std::optional<response_transfer> &transfer = std::nullopt);

    /// @brief Closes the idle connections to every peer.
    void closeIdle() { idle_.clear(); }

private:
    void run(const std::string &name, const std::shared_ptr<http_connection> &connection,
             const http_request &request, core::time_point deadline,
             http_connection::exchange_handler done,
             const std::optional<response_transfer> &transfer);

    boost::asio::io_context &context_;
    std::map<std::string, std::vector<std::shared_ptr<http_connection>>> idle_;
};

/// @brief Makes one call and waits for its result; for command-line tools.
/// @complexity blocks until the deadline at the latest
[[nodiscard]] http_exchange callAndWait(const endpoint &peer, const http_request &request,
                                        core::time_point deadline);

} // namespace fuchsiagw::net
