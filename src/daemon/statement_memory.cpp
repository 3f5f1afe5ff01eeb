/// @file
/// @brief Reservations of memory for long statements.

#include <fuchsiagw/daemon/statement_memory.hpp>

#include <algorithm>

namespace fuchsiagw::daemon {

namespace {

/// Copies of a statement between its caller's input and the output to its member.
constexpr std::size_t copiesPerStatement = 5;

} // namespace

bool reserve(statement_memory &memory, std::uint64_t connection, std::size_t bytes)
{
    const std::size_t wanted = bytes * copiesPerStatement;
    // One statement at a time is always let through, however small the budget is.
    const bool hasRoom = memory.reserved.empty() || net::fits(*memory.budget, wanted);
    if (!hasRoom) {
        if (std::find(memory.waiting.begin(), memory.waiting.end(), connection)
            == memory.waiting.end())
            memory.waiting.push_back(connection);
        return false;
    }
    memory.reserved[connection] += wanted;
    memory.budget->used += wanted;
    return true;
}

void release(statement_memory &memory, std::uint64_t connection)
{
    std::erase(memory.waiting, connection);
    const auto found = memory.reserved.find(connection);
    if (found == memory.reserved.end())
        return;
    memory.budget->used -= found->second;
    memory.reserved.erase(found);
}

std::uint64_t takeNextWaiting(statement_memory &memory)
{
    if (memory.waiting.empty())
        return 0;
    const std::uint64_t next = memory.waiting.front();
    memory.waiting.pop_front();
    return next;
}

} // namespace fuchsiagw::daemon
