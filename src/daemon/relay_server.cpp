/// @file
/// @brief Sockets of the relay: connections of borrowers and pooled connections to members.

#include <fuchsiagw/daemon/relay_server.hpp>

#include <fuchsiagw/detail/engine_steps.hpp>
#include <fuchsiagw/detail/relay_connections.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <platform/wire_codec.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsiagw::daemon {

namespace {

using boost::asio::ip::tcp;

/// Part of a member's connection limit that its relay uses. The remainder is reserved for the
/// daemons' control commands and for daemons that can't reach the relay.
constexpr double relayConnectionShare = 0.85;
/// Wait of borrowers that send no terms.
constexpr std::chrono::milliseconds defaultBorrowerWait{ 150 };
/// Commands of one operation before a connection is assigned: values, a prepared statement and the
/// statement itself.
constexpr std::size_t maxBufferedBytes = 8 * adapter::maxMessageBytes;
/// Operations beyond a member's limit, so that none of its slots is idle while an answer and the
/// next command are between the relay and the member.
constexpr std::size_t operationsInTransit = 1;
constexpr int defaultPriority = 1'000; // of borrowers that send no terms
/// Statements of a workspace in each round of the queue: enough for priorities to count in it.
constexpr std::uint32_t queueQuantum = 4;
/// If a timer is later than this, the process was slow and its measurements show that.
constexpr std::chrono::milliseconds maxTimerDelay{ 20 };
constexpr std::chrono::milliseconds tickInterval{ 20 }; // while a borrower waits
constexpr std::chrono::milliseconds idleTickInterval{ 250 };
constexpr std::chrono::milliseconds openTimeout{ 1'000 };
constexpr std::chrono::milliseconds refusalBackoff{ 60 };
/// How long a statement may continue after its borrower has disconnected, before the member
/// connection is closed.
constexpr std::chrono::milliseconds abandonedStatementTimeout{ 3'000 };

} // namespace

relay_server::relay_server(boost::asio::io_context &context, proxy::engine &engine,
                           reply_fault_handler onReplyFault)
    : context_(context)
    , engine_(engine)
    , onReplyFault_(std::move(onReplyFault))
    , acceptor_(context)
    , timer_(context)
{ }

relay_server::~relay_server() = default;

std::error_code relay_server::start(const net::endpoint &local)
{
    const tcp::endpoint address(local.address, local.port);
    boost::system::error_code error;
    acceptor_.open(address.protocol(), error);
    if (!error)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(address, error);
    if (!error)
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return { error.value(), std::system_category() };
    accept();
    scheduleTick();
    return {};
}

void relay_server::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            const proxy::borrower_id id = ++lastId_;
            auto entry = std::make_unique<borrower>();
            entry->connection = net::line_connection::create(std::move(socket),
                                                             adapter::maxInternalMessageBytes);
            entry->connection->setBudget(borrowerBytes_);
            entry->connection->setHandlers(
                    [this, id](std::string_view line) { onBorrowerLine(id, line); },
                    [this, id] { onBorrowerDisconnected(id, false); });
            const auto connection = entry->connection;
            borrowers_.emplace(id, std::move(entry));
            connection->start(net::keepalive_profile::Short);
        }
        accept();
    });
}

void relay_server::onBorrowerLine(proxy::borrower_id id, std::string_view line)
{
    const auto found = borrowers_.find(id);
    if (found == borrowers_.end())
        return;
    borrower &source = *found->second;
    if (source.member.empty()) {
        const auto opening = adapter::decodeMemberStartup(line);
        if (!opening || isStopping_) {
            refuse(id, proxy::reply_code::Misrouted);
            return;
        }
        requestConnection(id, *opening);
        return;
    }
    if (line == adapter::terminateKeyword()) {
        const auto connection = source.connection;
        onBorrowerDisconnected(id, true);
        connection->closeGracefully();
        return;
    }
    const auto shape = adapter::replyShapeOf(line);
    if (!shape) {
        const auto connection = source.connection;
        onBorrowerDisconnected(id, false);
        connection->close();
        return;
    }
    std::string message(line);
    message += adapter::lineEnd();
    const auto assigned = pooled_.find(source.pooled);
    if (assigned != pooled_.end()) {
        sendCommands(source.pooled, std::move(message), { *shape });
        return;
    }
    source.bufferedLines += message;
    source.bufferedShapes.push_back(*shape);
    if (source.bufferedLines.size() > maxBufferedBytes) {
        const auto connection = source.connection;
        onBorrowerDisconnected(id, false);
        connection->close();
    }
}

void relay_server::requestConnection(proxy::borrower_id id, const adapter::member_startup &opening)
{
    const std::string &memberId = opening.member;
    const auto member = engine_.members.find(memberId);
    const bool isUsable = member != engine_.members.end() && engine_.config;
    const auto service = isUsable ? engine_.config->services.find(member->second.entry.service)
                                  : decltype(engine_.config->services.find("")){};
    if (!isUsable || service == engine_.config->services.end()) {
        refuse(id, proxy::reply_code::Misrouted);
        return;
    }
    const core::time_point now = net::currentBootTime();
    borrowers_.at(id)->member = memberId;
    proxy::relay_pool &pool = pools_[memberId];
    pool.queue.quantum = queueQuantum;
    pool.limit = std::max<std::size_t>(
            1, static_cast<std::size_t>(service->second.maxConnections * relayConnectionShare));
    if (limitsMembers())
        proxy::startLimit(members_[memberId].limit, member->second.entry.slots,
                          member->second.entry.startedAtMs, now);
    proxy::waiting_borrower waiting{ id, opening.workspace, now + defaultBorrowerWait,
                                     defaultPriority };
    if (opening.borrow) {
        waiting.waitUntil = now + opening.borrow->wait;
        waiting.priority = opening.borrow->priority;
        waiting.isExclusive = opening.borrow->isExclusive;
    }
    if (const auto retryAfter = proxy::addBorrower(pool, waiting, now)) {
        refuse(id, proxy::reply_code::ConnectionLimit, *retryAfter);
        return;
    }
    advance(memberId);
    scheduleTick();
}

void relay_server::advance(std::string_view member)
{
    // A connection that is closed here may hold the name.
    const std::string memberId(member);
    const auto pool = pools_.find(memberId);
    if (pool == pools_.end())
        return;
    const core::time_point now = net::currentBootTime();
    const auto limited = members_.find(memberId);
    pool->second.maxBusy =
            limitsMembers() && limited != members_.end()
                    ? proxy::currentLimit(limited->second.limit, now) + operationsInTransit
                    : 0;
    const proxy::relay_step step = proxy::advance(pool->second, now);
    for (const auto &each : step.lend)
        lend(each.borrower, each.connection);
    for (const proxy::pooled_id each : step.close)
        closePooled(each, true);
    for (const std::string &workspace : step.open)
        open(memberId, workspace);
    for (const auto &each : step.refuse)
        refuse(each.borrower, proxy::reply_code::ConnectionLimit, each.retryAfter);
}

void relay_server::open(const std::string &memberId, const std::string &workspace)
{
    const auto member = engine_.members.find(memberId);
    net::endpoint peer;
    if (member == engine_.members.end() || net::parseEndpoint(member->second.entry.address, peer))
        return;
    const proxy::pooled_id id = ++lastId_;
    auto entry = std::make_unique<pooled>();
    entry->member = memberId;
    entry->connection = member_connection::create(
            net::line_connection::create(context_, adapter::maxInternalMessageBytes),
            { [this, id](proxy::reply &&received, std::string_view text) {
                 onMemberReply(id, received, text);
             },
              [this, id] { onMemberDisconnected(id); },
              [this, memberId](proxy::reply_fault fault) { onReplyFault_(memberId, fault); } });
    const auto connection = entry->connection;
    pooled_.emplace(id, std::move(entry));
    proxy::pooled_connection record;
    record.workspace = workspace;
    record.since = net::currentBootTime();
    pools_[memberId].connections.emplace(id, record);
    ++counters_.opened;
    proxy::upstream_command startup;
    startup.kind = proxy::command_kind::Startup;
    startup.name = member->second.entry.service;
    startup.argument = workspace;
    startup.id = memberId;
    connection->send(adapter::encodeCommand(startup), { proxy::reply_shape::Startup });
    connection->connect(tcp::endpoint(peer.address, peer.port), net::keepalive_profile::Short);
}

void relay_server::lend(proxy::borrower_id borrowerId, proxy::pooled_id pooledId)
{
    const auto client = borrowers_.find(borrowerId);
    const auto connection = pooled_.find(pooledId);
    if (client == borrowers_.end() || connection == pooled_.end()) {
        // The borrower disconnected before the connection was assigned.
        const auto pool = connection == pooled_.end() ? pools_.end()
                                                      : pools_.find(connection->second->member);
        if (pool != pools_.end())
            pool->second.connections.at(pooledId).state = proxy::pooled_state::Idle;
        return;
    }
    ++counters_.lent;
    client->second->pooled = pooledId;
    connection->second->lentTo = borrowerId;
    client->second->connection->send(adapter::encodeReply({}, true));
    if (client->second->bufferedLines.empty())
        return;
    sendCommands(pooledId, std::exchange(client->second->bufferedLines, {}),
                 std::exchange(client->second->bufferedShapes, {}));
}

void relay_server::onMemberReply(proxy::pooled_id id, const proxy::reply &received,
                                 std::string_view text)
{
    pooled &from = *pooled_.at(id);
    if (!from.isOpen) {
        onOpened(id, received.code == proxy::reply_code::Success);
        return;
    }
    recordReply(id, received);
    from.isInTransaction = received.state != proxy::transaction_state::Idle;
    if (from.lentTo != 0) {
        const std::string member = from.member;
        const auto client = borrowers_.find(from.lentTo);
        if (client != borrowers_.end())
            client->second->connection->send(std::string(text));
        const bool makesRoom = !from.connection->hasOutstanding();
        if (isRecallDue(from))
            closePooled(id, true);
        if (makesRoom && limitsMembers())
            advance(member);
        return;
    }
    if (from.connection->hasOutstanding())
        return;
    proxy::relay_pool &pool = pools_[from.member];
    proxy::pooled_connection &record = pool.connections.at(id);
    if (record.state == proxy::pooled_state::Lent) {
        resetConnection(id);
        return;
    }
    if (received.code != proxy::reply_code::Success || from.isInTransaction) {
        closePooled(id, false);
        return;
    }
    record.state = proxy::pooled_state::Idle;
    record.since = net::currentBootTime();
    advance(from.member);
}

void relay_server::onOpened(proxy::pooled_id id, bool isAccepted)
{
    pooled &opened = *pooled_.at(id);
    proxy::relay_pool &pool = pools_[opened.member];
    if (!isAccepted) {
        pool.refusedUntil = net::currentBootTime() + refusalBackoff;
        closePooled(id, false);
        return;
    }
    opened.isOpen = true;
    pool.connections.at(id).state = proxy::pooled_state::Idle;
    pool.connections.at(id).since = net::currentBootTime();
    advance(opened.member);
}

void relay_server::resetConnection(proxy::pooled_id id)
{
    const pooled &from = *pooled_.at(id);
    // An error may come a second time, and then looks like the next borrower's. A borrower that
    // found a reply wrong has closed its connection without a word.
    if (from.connection->hasSeenError() || !from.isReusable) {
        const std::string member = from.member;
        closePooled(id, true);
        advance(member);
        return;
    }
    proxy::pooled_connection &record = pools_.at(from.member).connections.at(id);
    record.state = proxy::pooled_state::Cleaning;
    record.since = net::currentBootTime();
    proxy::upstream_command command;
    std::string message;
    std::vector<proxy::reply_shape> shapes;
    if (from.isInTransaction) {
        command.kind = proxy::command_kind::Rollback;
        message += adapter::encodeCommand(command);
        shapes.push_back(proxy::reply_shape::Rollback);
    }
    command.kind = proxy::command_kind::Discard;
    message += adapter::encodeCommand(command);
    shapes.push_back(proxy::reply_shape::Setting);
    sendCommands(id, std::move(message), shapes);
}

void relay_server::onBorrowerDisconnected(proxy::borrower_id id, bool isInOrder)
{
    const auto found = borrowers_.find(id);
    if (found == borrowers_.end())
        return;
    const proxy::pooled_id pooledId = found->second->pooled;
    const std::string member = found->second->member;
    borrowers_.erase(found);
    const auto pool = pools_.find(member);
    if (pool != pools_.end())
        proxy::removeBorrower(pool->second, id);
    const auto connection = pooled_.find(pooledId);
    if (connection == pooled_.end())
        return;
    connection->second->lentTo = 0;
    connection->second->isReusable = isInOrder;
    pools_.at(member).connections.at(pooledId).since = net::currentBootTime();
    if (!connection->second->connection->hasOutstanding())
        resetConnection(pooledId);
}

void relay_server::onMemberDisconnected(proxy::pooled_id id)
{
    closePooled(id, false);
}

void relay_server::scheduleTick()
{
    const bool hasWaiting = std::any_of(pools_.begin(), pools_.end(), [](const auto &each) {
        return !each.second.waiting.empty();
    });
    const core::time_point now = net::currentBootTime();
    const core::time_point dueAt = now + (hasWaiting ? tickInterval : idleTickInterval);
    if (nextTickAt_ > now && nextTickAt_ <= dueAt)
        return;
    nextTickAt_ = dueAt;
    timer_.expires_after(dueAt - now);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void relay_server::tick()
{
    const core::time_point now = net::currentBootTime();
    if (now - nextTickAt_ > maxTimerDelay) {
        for (auto &[name, member] : members_)
            proxy::discardSamples(member.limit, now);
    }
    std::vector<std::string> members;
    std::vector<proxy::pooled_id> toClose;
    std::vector<proxy::pooled_id> toRecall;
    for (const auto &[member, pool] : pools_) {
        if (!pool.waiting.empty())
            members.push_back(member);
        const auto idle = proxy::findExpired(pool, now);
        toClose.insert(toClose.end(), idle.begin(), idle.end());
        // Idle connections are also closed if another daemon has become the member's relay, since
        // they count against the member's limit and that daemon needs them.
        const auto known = engine_.members.find(member);
        const bool isUnwanted =
                isStopping_ || known == engine_.members.end() || !known->second.listed
                || proxy::relayNodeFor(engine_, known->second, now) != engine_.settings.node
                || proxy::isEvacuated(engine_.evacuation, known->second.entry.zone);
        for (const auto &[id, each] : pool.connections) {
            if (isRecallDue(*pooled_.at(id)))
                toRecall.push_back(id);
            const core::duration age = now - each.since;
            const bool isOpenOverdue =
                    each.state == proxy::pooled_state::Opening && age > openTimeout;
            const bool isAbandoned = pooled_.at(id)->lentTo == 0
                                     && each.state != proxy::pooled_state::Idle
                                     && age > abandonedStatementTimeout;
            if (isOpenOverdue || isAbandoned
                || (isUnwanted && each.state == proxy::pooled_state::Idle))
                toClose.push_back(id);
        }
    }
    for (const proxy::pooled_id id : toRecall)
        closePooled(id, true);
    if (now >= lendUntil_)
        recallUnassigned();
    std::erase_if(closing_, [](const auto &each) { return each.expired(); });
    for (const proxy::pooled_id id : toClose) {
        const auto found = pooled_.find(id);
        if (found != pooled_.end())
            closePooled(id, !found->second->connection->hasOutstanding());
    }
    for (const std::string &member : members)
        advance(member);
    std::erase_if(pools_, [](const auto &each) {
        return each.second.connections.empty() && each.second.waiting.empty();
    });
    checkLoads(now);
    nextTickAt_ = {};
    scheduleTick();
}

} // namespace fuchsiagw::daemon
