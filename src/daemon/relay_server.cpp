/// @file
/// @brief Sockets of borrowers and of the connections that are lent to them.

#include <fuchsiagw/daemon/relay_server.hpp>

#include <fuchsiagw/detail/engine_steps.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <platform/wire_codec.hpp>

#include <algorithm>
#include <vector>

namespace fuchsiagw::daemon {

namespace {

using boost::asio::ip::tcp;

/// Of a member's connections, the part that its keeper uses; the rest is for orders of the daemons
/// and for those that can't reach the keeper.
constexpr double keeperShare = 0.85;
constexpr std::chrono::milliseconds borrowerWait{ 150 };
constexpr std::chrono::milliseconds tickInterval{ 20 }; // while a borrower waits
constexpr std::chrono::milliseconds idleTickInterval{ 250 };
constexpr std::chrono::milliseconds openLimit{ 1'000 };
constexpr std::chrono::milliseconds limitPause{ 60 };
/// A statement whose borrower has left may run on for this long before its connection is closed.
constexpr std::chrono::milliseconds leftBehindLimit{ 3'000 };

} // namespace

struct relay_server::borrower
{
    std::shared_ptr<net::line_connection> connection;
    std::string member;
    proxy::pooled_id pooled = 0; ///< 0: none yet
    std::string early; ///< lines that came before the connection was lent
    std::uint32_t earlyStatements = 0;
};

struct relay_server::pooled
{
    std::shared_ptr<net::line_connection> connection;
    std::string member;
    proxy::borrower_id lentTo = 0; ///< 0: nobody
    bool opened = false;
    std::uint32_t owed = 0; ///< answers that have not ended yet
    bool inTransaction = false; ///< after the newest answer
};

relay_server::relay_server(boost::asio::io_context &context, proxy::engine &engine)
    : context_(context)
    , engine_(engine)
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
    planTick();
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
            entry->connection =
                    net::line_connection::create(std::move(socket), adapter::maxMessageBytes);
            entry->connection->setHandlers(
                    [this, id](std::string_view line) { onBorrowerLine(id, line); },
                    [this, id] { onBorrowerGone(id); });
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
    borrower &who = *found->second;
    if (who.member.empty()) {
        const auto opening = adapter::decodeMemberOpening(line);
        if (!opening || stopping_) {
            refuse(id, proxy::reply_code::Misrouted);
            return;
        }
        borrow(id, opening->member, opening->workspace);
        return;
    }
    if (line == adapter::farewellLine()) {
        const auto connection = who.connection;
        onBorrowerGone(id);
        connection->closeGracefully();
        return;
    }
    std::string text(line);
    text += adapter::lineEnd();
    const auto member = pooled_.find(who.pooled);
    if (member == pooled_.end()) {
        who.early += text;
        ++who.earlyStatements;
        return;
    }
    ++member->second->owed;
    member->second->connection->send(std::move(text));
}

void relay_server::borrow(proxy::borrower_id id, const std::string &memberId,
                          const std::string &workspace)
{
    const auto member = engine_.members.find(memberId);
    const bool usable = member != engine_.members.end() && engine_.config;
    const auto service = usable ? engine_.config->services.find(member->second.entry.service)
                                : decltype(engine_.config->services.find("")){};
    if (!usable || service == engine_.config->services.end()) {
        refuse(id, proxy::reply_code::Misrouted);
        return;
    }
    borrowers_.at(id)->member = memberId;
    proxy::relay_pool &pool = pools_[memberId];
    pool.limit = std::max<std::size_t>(
            1, static_cast<std::size_t>(service->second.maxConnections * keeperShare));
    pool.waiting.push_back({ id, workspace, net::currentBootTime() + borrowerWait });
    advance(memberId);
    planTick();
}

void relay_server::advance(const std::string &memberId)
{
    const auto pool = pools_.find(memberId);
    if (pool == pools_.end())
        return;
    const proxy::relay_step step = proxy::advance(pool->second, net::currentBootTime());
    for (const auto &each : step.lend)
        lend(each.borrower, each.connection);
    for (const proxy::pooled_id each : step.close)
        closePooled(each, true);
    for (const std::string &workspace : step.open)
        open(memberId, workspace);
    for (const proxy::borrower_id each : step.refuse)
        refuse(each, proxy::reply_code::ConnectionLimit);
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
    entry->connection = net::line_connection::create(context_, adapter::maxMessageBytes);
    entry->connection->setHandlers([this, id](std::string_view line) { onMemberLine(id, line); },
                                   [this, id] { onMemberGone(id); });
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
    connection->send(adapter::encodeCommand(startup));
    connection->connect(tcp::endpoint(peer.address, peer.port), net::keepalive_profile::Short);
}

void relay_server::lend(proxy::borrower_id borrowerId, proxy::pooled_id pooledId)
{
    const auto who = borrowers_.find(borrowerId);
    const auto lent = pooled_.find(pooledId);
    if (who == borrowers_.end() || lent == pooled_.end()) {
        // The borrower has left meanwhile.
        const auto pool = lent == pooled_.end() ? pools_.end() : pools_.find(lent->second->member);
        if (pool != pools_.end())
            pool->second.connections.at(pooledId).state = proxy::pooled_state::Idle;
        return;
    }
    ++counters_.lent;
    who->second->pooled = pooledId;
    lent->second->lentTo = borrowerId;
    who->second->connection->send(adapter::encodeReply({}, true));
    if (who->second->early.empty())
        return;
    lent->second->owed += who->second->earlyStatements;
    lent->second->connection->send(std::exchange(who->second->early, {}));
}

void relay_server::onMemberLine(proxy::pooled_id id, std::string_view line)
{
    const auto found = pooled_.find(id);
    if (found == pooled_.end())
        return;
    pooled &from = *found->second;
    const auto state = adapter::readyState(line);
    if (!from.opened) {
        proxy::relay_pool &pool = pools_[from.member];
        if (!state) {
            pool.refusedUntil = net::currentBootTime() + limitPause;
            closePooled(id, false);
            return;
        }
        from.opened = true;
        pool.connections.at(id).state = proxy::pooled_state::Idle;
        pool.connections.at(id).since = net::currentBootTime();
        advance(from.member);
        return;
    }
    if (state) {
        from.owed -= from.owed > 0 ? 1 : 0;
        from.inTransaction = *state != proxy::transaction_state::Idle;
    }
    if (from.lentTo != 0) {
        const auto who = borrowers_.find(from.lentTo);
        if (who != borrowers_.end()) {
            std::string text(line);
            text += adapter::lineEnd();
            who->second->connection->send(std::move(text));
        }
        return;
    }
    if (!state || from.owed > 0)
        return;
    proxy::relay_pool &pool = pools_[from.member];
    proxy::pooled_connection &record = pool.connections.at(id);
    if (record.state == proxy::pooled_state::Lent) {
        clean(id);
        return;
    }
    record.state = proxy::pooled_state::Idle;
    record.since = net::currentBootTime();
    advance(from.member);
}

void relay_server::clean(proxy::pooled_id id)
{
    pooled &from = *pooled_.at(id);
    proxy::pooled_connection &record = pools_.at(from.member).connections.at(id);
    record.state = proxy::pooled_state::Cleaning;
    record.since = net::currentBootTime();
    proxy::upstream_command command;
    std::string text;
    if (from.inTransaction) {
        command.kind = proxy::command_kind::Rollback;
        text += adapter::encodeCommand(command);
        ++from.owed;
    }
    command.kind = proxy::command_kind::Discard;
    text += adapter::encodeCommand(command);
    ++from.owed;
    from.connection->send(std::move(text));
}

void relay_server::onBorrowerGone(proxy::borrower_id id)
{
    const auto found = borrowers_.find(id);
    if (found == borrowers_.end())
        return;
    const proxy::pooled_id held = found->second->pooled;
    const std::string member = found->second->member;
    borrowers_.erase(found);
    const auto pool = pools_.find(member);
    if (pool != pools_.end())
        std::erase_if(pool->second.waiting, [id](const auto &each) { return each.id == id; });
    const auto lent = pooled_.find(held);
    if (lent == pooled_.end())
        return;
    lent->second->lentTo = 0;
    pools_.at(member).connections.at(held).since = net::currentBootTime();
    if (lent->second->owed == 0)
        clean(held);
}

void relay_server::onMemberGone(proxy::pooled_id id)
{
    closePooled(id, false);
}

void relay_server::closePooled(proxy::pooled_id id, bool graceful)
{
    const auto found = pooled_.find(id);
    if (found == pooled_.end())
        return;
    const proxy::borrower_id borrowerId = found->second->lentTo;
    const std::string member = found->second->member;
    const auto connection = found->second->connection;
    pooled_.erase(found);
    pools_[member].connections.erase(id);
    if (graceful) {
        connection->send(std::string(adapter::farewell()));
        connection->closeGracefully();
    } else {
        connection->close();
    }
    // The borrower learns of the loss by the end of its own connection.
    const auto who = borrowers_.find(borrowerId);
    if (who == borrowers_.end())
        return;
    who->second->connection->close();
    borrowers_.erase(who);
}

void relay_server::refuse(proxy::borrower_id id, proxy::reply_code code)
{
    const auto found = borrowers_.find(id);
    if (found == borrowers_.end())
        return;
    ++counters_.refused;
    proxy::reply answer;
    answer.code = code;
    found->second->connection->send(adapter::encodeReply(answer, true));
    found->second->connection->closeGracefully();
    borrowers_.erase(found);
}

void relay_server::stop()
{
    stopping_ = true;
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

void relay_server::planTick()
{
    const bool waits = std::any_of(pools_.begin(), pools_.end(),
                                   [](const auto &each) { return !each.second.waiting.empty(); });
    const core::time_point now = net::currentBootTime();
    const core::time_point due = now + (waits ? tickInterval : idleTickInterval);
    if (tickAt_ > now && tickAt_ <= due)
        return;
    tickAt_ = due;
    timer_.expires_after(due - now);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void relay_server::tick()
{
    const core::time_point now = net::currentBootTime();
    std::vector<std::string> members;
    std::vector<proxy::pooled_id> overdue;
    for (const auto &[member, pool] : pools_) {
        if (!pool.waiting.empty())
            members.push_back(member);
        const auto idle = proxy::surplus(pool, now);
        overdue.insert(overdue.end(), idle.begin(), idle.end());
        // The rightful keeper needs the connections that this daemon has lent in its place.
        const auto known = engine_.members.find(member);
        const bool unwanted =
                stopping_ || known == engine_.members.end() || !known->second.listed
                || proxy::relayNodeFor(engine_, known->second, now) != engine_.settings.node;
        for (const auto &[id, each] : pool.connections) {
            const core::duration age = now - each.since;
            const bool stuck = each.state == proxy::pooled_state::Opening && age > openLimit;
            const bool left = pooled_.at(id)->lentTo == 0 && each.state != proxy::pooled_state::Idle
                              && age > leftBehindLimit;
            if (stuck || left || (unwanted && each.state == proxy::pooled_state::Idle))
                overdue.push_back(id);
        }
    }
    for (const proxy::pooled_id id : overdue) {
        const auto found = pooled_.find(id);
        if (found != pooled_.end())
            closePooled(id, found->second->owed == 0);
    }
    for (const std::string &member : members)
        advance(member);
    std::erase_if(pools_, [](const auto &each) {
        return each.second.connections.empty() && each.second.waiting.empty();
    });
    tickAt_ = {};
    planTick();
}

} // namespace fuchsiagw::daemon
