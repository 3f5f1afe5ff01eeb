/// @file
/// @brief Connections of a relay: those of its borrowers and the pooled ones to members.

#pragma once

#include <fuchsiagw/daemon/member_connection.hpp>
#include <fuchsiagw/daemon/relay_server.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace fuchsiagw::daemon {

struct relay_server::borrower
{
    std::shared_ptr<net::line_connection> connection;
    std::string member;
    proxy::pooled_id pooled = 0; ///< assigned member connection; 0: none
    /// @name Commands received before a connection was assigned
    /// @{
    std::string bufferedLines;
    std::vector<proxy::reply_shape> bufferedShapes; ///< one for each line
    /// @}
};

/// A command without a reply.
struct sent_command
{
    proxy::reply_shape shape = proxy::reply_shape::Run;
    core::time_point sentAt{};
    std::uint32_t outstanding = 0; ///< operations at the member when it was sent, its own included
};

struct relay_server::pooled
{
    std::shared_ptr<member_connection> connection;
    std::string member;
    proxy::borrower_id lentTo = 0; ///< borrower that uses the connection; 0: none
    bool isOpen = false;
    bool isInTransaction = false; ///< as of the last complete reply
    bool isReusable = true; ///< the last borrower returned the connection in order
    std::deque<sent_command> sent; ///< oldest first; only with limits on members
    core::time_point lastReplyAt{}; ///< the member has worked on the next command since then
};

} // namespace fuchsiagw::daemon
