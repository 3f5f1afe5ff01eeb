/// @file
/// @brief Ends of lent connections: recalls, refusals and the relay's shutdown.

#include <fuchsiagw/detail/relay_connections.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <platform/wire_codec.hpp>

#include <algorithm>
#include <vector>

namespace fuchsiagw::daemon {

void relay_server::closePooled(proxy::pooled_id id, bool isGraceful)
{
    const auto found = pooled_.find(id);
    if (found == pooled_.end())
        return;
    const proxy::borrower_id borrowerId = found->second->lentTo;
    const std::string member = found->second->member;
    const auto connection = found->second->connection;
    pooled_.erase(found);
    pools_[member].connections.erase(id);
    // The borrower's connection is closed as well, so that the borrower detects the loss of the
    // member connection. Without an outstanding command, the replies to all that were forwarded
    // have been sent, and those that are still on their way are never forwarded.
    const auto client = borrowers_.find(borrowerId);
    if (client != borrowers_.end()) {
        if (connection->hasOutstanding())
            client->second->connection->close();
        else
            recall(*client->second);
        borrowers_.erase(client);
    }
    if (isGraceful)
        connection->closeGracefully();
    else
        connection->close();
}

void relay_server::refuse(proxy::borrower_id id, proxy::reply_code code, core::duration retryAfter)
{
    const auto found = borrowers_.find(id);
    if (found == borrowers_.end())
        return;
    ++counters_.refused;
    proxy::reply answer;
    answer.code = code;
    answer.retryAfter = retryAfter;
    found->second->connection->send(adapter::encodeReply(answer, true));
    closeInOrder(found->second->connection);
    borrowers_.erase(found);
}

bool relay_server::isRecallDue(const pooled &connection) const
{
    return connection.lentTo != 0 && !connection.connection->hasOutstanding()
           && net::currentBootTime() >= lendUntil_;
}

void relay_server::stop(core::time_point lendUntil)
{
    if (std::exchange(isStopping_, true))
        return;
    lendUntil_ = lendUntil;
    for (const auto &[member, pool] : pools_)
        closeIdle(member);
}

void relay_server::closeIdle(const std::string &memberId)
{
    std::vector<proxy::pooled_id> idle;
    for (const auto &[id, each] : pools_.at(memberId).connections) {
        if (each.state == proxy::pooled_state::Idle)
            idle.push_back(id);
    }
    for (const proxy::pooled_id id : idle)
        closePooled(id, true);
}

void relay_server::recall(const borrower &client)
{
    client.connection->send(std::string(adapter::terminateMessage()));
    closeInOrder(client.connection);
}

void relay_server::closeInOrder(const std::shared_ptr<net::line_connection> &connection)
{
    connection->closeGracefully();
    if (isStopping_)
        closing_.push_back(connection);
}

void relay_server::recallUnassigned()
{
    std::erase_if(borrowers_, [this](const auto &each) {
        if (!each.second->member.empty())
            return false;
        recall(*each.second);
        mayBeAsked_ = true;
        return true;
    });
}

bool relay_server::isBusy() const
{
    const bool isClosing = std::any_of(closing_.begin(), closing_.end(),
                                       [](const auto &each) { return !each.expired(); });
    // A refusal promises that nothing runs; a connection that is not accepted promises nothing.
    return !borrowers_.empty() || isClosing || mayBeAsked_;
}

} // namespace fuchsiagw::daemon
