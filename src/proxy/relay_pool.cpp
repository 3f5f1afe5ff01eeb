/// @file
/// @brief Assigns pooled connections to borrowers, decides when to open new ones and whom to
/// refuse.

#include <fuchsiagw/proxy/relay_pool.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// Limit of concurrent handshakes, because each of them occupies a slot of the member.
constexpr std::size_t maxOpening = 2;
constexpr std::chrono::seconds idleTimeout{ 8 };
/// Room is reserved for exclusive operations for this long after one has asked for it.
constexpr std::chrono::seconds exclusiveReservation{ 1 };
constexpr double reservedConnectionShare = 0.1;
/// Below this number of grants the rate of the queue is unknown, and nobody is refused early.
constexpr std::uint32_t minGrantSamples = 8;

/// @return the most recently used idle connection of a workspace, or 0
pooled_id findIdle(const relay_pool &pool, const std::string &workspace)
{
    pooled_id newest = 0;
    for (const auto &[id, each] : pool.connections) {
        const bool isUsable = each.state == pooled_state::Idle && each.workspace == workspace;
        if (isUsable && (newest == 0 || each.since > pool.connections.at(newest).since))
            newest = id;
    }
    return newest;
}

/// @return the connection that has been idle longest, or 0; those of workspaces without waiting
/// borrowers go first
pooled_id findEvictable(const relay_pool &pool)
{
    pooled_id oldest = 0;
    bool isOldestWanted = true;
    for (const auto &[id, each] : pool.connections) {
        if (each.state != pooled_state::Idle)
            continue;
        const bool isWanted = pool.queue.flows.contains(core::workspace_id{ each.workspace });
        const bool isBetter =
                oldest == 0 || (isOldestWanted && !isWanted)
                || (isOldestWanted == isWanted && each.since < pool.connections.at(oldest).since);
        if (!isBetter)
            continue;
        oldest = id;
        isOldestWanted = isWanted;
    }
    return oldest;
}

std::size_t countOpening(const relay_pool &pool, const std::string *workspace)
{
    return static_cast<std::size_t>(
            std::count_if(pool.connections.begin(), pool.connections.end(), [&](const auto &each) {
                return each.second.state == pooled_state::Opening
                       && (workspace == nullptr || each.second.workspace == *workspace);
            }));
}

/// @return whether one more operation may occupy the member
bool hasRoom(const relay_pool &pool, bool isExclusive, std::size_t opened, core::time_point now)
{
    if (pool.maxBusy == 0)
        return true;
    const std::size_t busy = countBusy(pool) + opened;
    const bool isReserved = !isExclusive && pool.maxBusy > 1 && now < pool.exclusiveUntil;
    return busy + (isReserved ? 1 : 0) < pool.maxBusy;
}

/// @return whether a connection may be opened for a borrower's workspace: more borrowers wait for
/// one than are being opened, and the member may be asked for one
bool mayOpen(const relay_pool &pool, const waiting_borrower &borrower, const relay_step &step,
             core::time_point now)
{
    const std::size_t opened = step.open.size();
    if (now < pool.refusedUntil || countOpening(pool, nullptr) + opened >= maxOpening)
        return false;
    const auto planned = static_cast<std::size_t>(
            std::count(step.open.begin(), step.open.end(), borrower.workspace));
    const auto flow = pool.queue.flows.find(core::workspace_id{ borrower.workspace });
    if (flow == pool.queue.flows.end()
        || flow->second.length <= countOpening(pool, &borrower.workspace) + planned)
        return false;
    std::size_t available = pool.limit;
    if (!borrower.isExclusive && now < pool.exclusiveUntil)
        available -=
                static_cast<std::size_t>(static_cast<double>(pool.limit) * reservedConnectionShare);
    return pool.connections.size() + opened < std::max<std::size_t>(1, available)
           || findEvictable(pool) != 0;
}

void planOpening(relay_pool &pool, const std::string &workspace, relay_step &step)
{
    if (pool.connections.size() + step.open.size() >= pool.limit) {
        const pooled_id victim = findEvictable(pool);
        pool.connections.erase(victim);
        step.close.push_back(victim);
    }
    step.open.push_back(workspace);
}

core::queued_statement makeEntry(const waiting_borrower &borrower)
{
    core::queued_statement entry;
    entry.handle = borrower.id;
    entry.session = borrower.id;
    entry.workspace = core::workspace_id{ borrower.workspace };
    entry.priority = borrower.priority;
    entry.objective = borrower.waitUntil;
    return entry;
}

/// Measures how fast the queue drains; a pause without waiting borrowers does not count.
void recordGrantTime(relay_pool &pool, core::time_point now)
{
    if (pool.waiting.size() > 1 && pool.lastGrantAt != core::time_point{})
        core::recordServiceTime(pool.grantInterval, now - pool.lastGrantAt);
    pool.lastGrantAt = pool.waiting.size() > 1 ? now : core::time_point{};
}

void lendTo(relay_pool &pool, borrower_id id, pooled_id connection, relay_step &step,
            core::time_point now)
{
    pooled_connection &lent = pool.connections.at(connection);
    lent.state = pooled_state::Lent;
    lent.since = now;
    lent.hasOutstanding = true; // the borrower sends its first command without delay
    step.lend.push_back({ id, connection });
    recordGrantTime(pool, now);
    pool.waiting.erase(id);
}

void refuseOverdue(relay_pool &pool, relay_step &step, core::time_point now)
{
    const auto removed = core::removeIf(pool.queue, [&](const auto &each) {
        return pool.waiting.at(each.handle).waitUntil <= now;
    });
    for (const core::queued_statement &each : removed) {
        const waiting_borrower &borrower = pool.waiting.at(each.handle);
        const core::duration wait = expectedWait(pool, borrower.workspace, borrower.priority);
        const core::duration interval(pool.grantInterval.meanNanos / 1'000);
        step.refuse.push_back(
                { each.handle, core::scheduleReturn(pool.returns, interval, now + wait, now) });
        pool.waiting.erase(each.handle);
    }
}

} // namespace

std::optional<core::duration> addBorrower(relay_pool &pool, waiting_borrower borrower,
                                          core::time_point now)
{
    if (borrower.isExclusive)
        pool.exclusiveUntil = now + exclusiveReservation;
    const core::duration wait = expectedWait(pool, borrower.workspace, borrower.priority);
    const bool isHopeless = pool.maxBusy > 0 && now + wait > borrower.waitUntil;
    if (isHopeless || !core::enqueue(pool.queue, makeEntry(borrower), 1).accepted) {
        ++pool.earlyRefusals;
        const core::duration interval(pool.grantInterval.meanNanos / 1'000);
        return core::scheduleReturn(pool.returns, interval, now + wait, now);
    }
    const borrower_id id = borrower.id;
    pool.waiting.emplace(id, std::move(borrower));
    return std::nullopt;
}

void removeBorrower(relay_pool &pool, borrower_id id)
{
    if (pool.waiting.erase(id) > 0)
        static_cast<void>(
                core::removeIf(pool.queue, [id](const auto &each) { return each.handle == id; }));
}

std::size_t countBusy(const relay_pool &pool)
{
    return static_cast<std::size_t>(
            std::count_if(pool.connections.begin(), pool.connections.end(), [](const auto &each) {
                const pooled_connection &connection = each.second;
                return connection.state == pooled_state::Opening
                       || (connection.state == pooled_state::Lent && connection.hasOutstanding);
            }));
}

core::duration expectedWait(const relay_pool &pool, const std::string &workspace, int priority)
{
    if (pool.grantInterval.samples < minGrantSamples || pool.queue.length == 0)
        return core::duration::zero();
    return core::expectedWait(pool.grantInterval, pool.queue, core::workspace_id{ workspace }, 1, 1,
                              0, priority);
}

relay_step advance(relay_pool &pool, core::time_point now)
{
    relay_step step;
    const auto canProceed = [&](const core::queued_statement &each) {
        const waiting_borrower &borrower = pool.waiting.at(each.handle);
        return hasRoom(pool, borrower.isExclusive, step.open.size(), now)
               && (findIdle(pool, borrower.workspace) != 0
                   || (borrower.waitUntil > now && mayOpen(pool, borrower, step, now)));
    };
    while (const auto next = core::dequeue(pool.queue, canProceed)) {
        const waiting_borrower borrower = pool.waiting.at(next->handle);
        if (const pooled_id idle = findIdle(pool, borrower.workspace)) {
            lendTo(pool, borrower.id, idle, step, now);
            continue;
        }
        // The borrower goes on waiting, in its place by priority and deadline.
        static_cast<void>(core::enqueue(pool.queue, makeEntry(borrower), 1));
        planOpening(pool, borrower.workspace, step);
    }
    refuseOverdue(pool, step, now);
    return step;
}

std::vector<pooled_id> findExpired(const relay_pool &pool, core::time_point now)
{
    std::vector<pooled_id> result;
    for (const auto &[id, each] : pool.connections) {
        if (each.state == pooled_state::Idle && now - each.since > idleTimeout)
            result.push_back(id);
    }
    return result;
}

} // namespace fuchsiagw::proxy
