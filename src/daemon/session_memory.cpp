/// @file
/// @brief Memory and descriptors of the session gateway: limits, and who is closed beyond them.

#include <fuchsiagw/daemon/session_gateway.hpp>

#include <fuchsiagw/detail/session_connections.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <boost/asio/post.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace fuchsiagw::daemon {

namespace {

constexpr int memoryEventNumber = 933;
constexpr std::chrono::seconds pressureLogInterval{ 1 };
/// Parts of the memory for what callers send and get, for the relay, and for what sessions keep.
constexpr std::size_t callerMemoryDivisor = 2;
constexpr std::size_t relayMemoryDivisor = 4;
constexpr std::size_t stateMemoryDivisor = 4;
/// A single message within the protocol's limit must get through on the smallest instance.
constexpr std::size_t minMemory = 16 * 1024 * 1024; // bytes
/// Connections without a session, beyond the limit of sessions.
constexpr std::size_t maxUnopenedConnections = 128;

std::size_t availableMemory(const session_settings &values)
{
    const std::size_t memory = std::size_t{ values.memoryMegabytes } * 1024 * 1024;
    return memory > reservedMemory + minMemory ? memory - reservedMemory : minMemory;
}

} // namespace

void session_gateway::applyMemoryLimits()
{
    const std::size_t memory = availableMemory(values_);
    callerBytes_->limit = memory / callerMemoryDivisor;
    relay_.setMemoryLimit(memory / relayMemoryDivisor);
    engine_.settings.maxStateBytes = memory / stateMemoryDivisor;
}

void session_gateway::limitConnections()
{
    const std::size_t limit = engine_.settings.maxSessions + maxUnopenedConnections;
    if (callers_.size() <= limit)
        return;
    // Ids grow with the time of the connection, so the first one found is the oldest.
    const auto oldest = std::find_if(callers_.begin(), callers_.end(),
                                     [](const auto &each) { return !each.second->isOpen; });
    if (oldest == callers_.end())
        return;
    ++closedSilent_;
    oldest->second->connection->close();
    release(statementMemory_, oldest->first);
    callers_.erase(oldest);
}

void session_gateway::logPressure()
{
    const std::uint64_t closed = callerBytes_->closedHolders + relay_.memory().closedHolders;
    const core::time_point now = net::currentBootTime();
    if (closed == loggedClosed_ || now < nextPressureLogAt_)
        return;
    loggedClosed_ = closed;
    nextPressureLogAt_ = now + pressureLogInterval;
    log_.write(memoryEventNumber, "memory_pressure",
               fmt::format("closed={} caller_bytes={} relay_bytes={}", closed, callerBytes_->used,
                           relay_.memory().used));
}

void session_gateway::resumeHeldStatements()
{
    // A statement that still finds no room goes to the end of the line again.
    for (std::size_t count = statementMemory_.waiting.size(); count > 0; --count) {
        const auto found = callers_.find(takeNextWaiting(statementMemory_));
        if (found == callers_.end())
            continue;
        const auto connection = found->second->connection;
        boost::asio::post(context_, [connection] { connection->resumeInput(); });
        return;
    }
}

} // namespace fuchsiagw::daemon
