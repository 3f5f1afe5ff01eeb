/// @file
/// @brief Single HTTP calls over a small set of kept connections.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/net/http_connection.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fuchsiagw::net {

/// For control requests, the platform and the operators' command: any number of calls at a time.
/// Lives on one context's thread.
class http_client
{
public:
    explicit http_client(boost::asio::io_context &context)
        : context_(context)
    { }

    /// @brief Makes one call; @p done is called exactly once, at the deadline at the latest.
    /// @complexity logarithmic in the number of peers
    void call(const endpoint &peer, const http_request &request, core::time_point deadline,
              http_connection::exchange_handler done);

    /// @brief Drops the kept connections to every peer.
    void closeIdle() { idle_.clear(); }

private:
    void run(const std::string &name, const std::shared_ptr<http_connection> &connection,
             const http_request &request, core::time_point deadline,
             http_connection::exchange_handler done);

    boost::asio::io_context &context_;
    std::map<std::string, std::vector<std::shared_ptr<http_connection>>> idle_;
};

/// @brief Makes one call and waits for it; for command-line tools.
/// @complexity blocks until the deadline at the latest
[[nodiscard]] http_exchange callAndWait(const endpoint &peer, const http_request &request,
                                        core::time_point deadline);

} // namespace fuchsiagw::net
