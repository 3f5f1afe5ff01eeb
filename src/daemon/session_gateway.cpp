/// @file
/// @brief Events from the sockets to the engine, and the engine's actions to the sockets.

#include <fuchsiagw/daemon/session_gateway.hpp>

#include <fuchsiagw/net/clock.hpp>

#include <boost/asio/post.hpp>
#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <random>
#include <sstream>

namespace fuchsiagw::daemon {

namespace {

using boost::asio::ip::tcp;

constexpr std::uint32_t reservedFiles = 200; // for files and the log
constexpr std::uint32_t filesPerSession = 2; // its socket, and a share of those to members
constexpr std::size_t bytesPerSession = 32 * 1024;
constexpr std::size_t baseMemory = 48 * 1024 * 1024; // bytes, for everything but sessions
constexpr std::size_t maxQueuedAnswers = 4 * adapter::maxMessageBytes;
/// A connection to a keeper that is open already saves a round trip.
constexpr std::size_t sparesPerKeeper = 2;
/// Without a manifest by then, callers are refused instead of left waiting.
constexpr std::chrono::milliseconds acceptDelay{ 800 };
constexpr int storeEvent = 930;
constexpr int socketEvent = 931;

std::uint32_t sessionLimit(const session_settings &values)
{
    const std::uint32_t files =
            values.openFiles > reservedFiles ? values.openFiles - reservedFiles : 1;
    const std::size_t memory = std::size_t{ values.memoryMegabytes } * 1024 * 1024;
    const std::size_t byMemory = memory > baseMemory ? (memory - baseMemory) / bytesPerSession : 64;
    return static_cast<std::uint32_t>(std::min<std::size_t>(files / filesPerSession, byMemory));
}

proxy::engine_settings engineSettings(const session_settings &values)
{
    proxy::engine_settings result;
    result.node = values.instance;
    result.zone = values.zone;
    result.maxSessions = sessionLimit(values);
    result.drainLimit = values.drainLimit;
    result.gracePeriod = values.gracePeriod;
    return result;
}

} // namespace

struct session_gateway::caller
{
    std::shared_ptr<net::line_connection> connection;
    bool opened = false; ///< its first message was read
    core::time_point askedAt{};
    proxy::statement_kind kind = proxy::statement_kind::Malformed;
};

struct session_gateway::upstream
{
    std::shared_ptr<net::line_connection> connection;
    adapter::reply_decoder decoder;
    bool opened = false; ///< the answer to the opening was read
};

session_gateway::session_gateway(boost::asio::io_context &context, const session_settings &values,
                                 session_log &log)
    : context_(context)
    , values_(values)
    , log_(log)
    , store_(context, values,
             { [this](std::shared_ptr<const proxy::manifest> next) {
                  proxy::onManifest(engine_, std::move(next), net::currentBootTime());
                  perform();
              },
               [this](const std::vector<proxy::listed_member> &list) {
                   proxy::onMemberList(engine_, list, net::currentBootTime());
                   perform();
               },
               [this](const std::vector<listed_instance> &list) { onInstances(list); },
               [this](const std::string &service, std::uint64_t token) {
                   proxy::onTokenAcquired(engine_, service, token, net::currentBootTime());
                   perform();
               },
               [this](const std::string &service, std::chrono::milliseconds left) {
                   const core::time_point now = net::currentBootTime();
                   proxy::onTokenHeldElsewhere(engine_, service, now + left, now);
                   perform();
               },
               [this](const std::string &service) {
                   proxy::onPromotionsDisabled(engine_, service, net::currentBootTime());
                   perform();
               },
               [this](const std::string &service, proxy::promote_outcome outcome) {
                   proxy::onPromoteAnswer(engine_, service, outcome, net::currentBootTime());
                   perform();
               },
               [this](std::string_view what, std::string_view detail) {
                   log_.write(storeEvent, what, detail);
               } })
    , datagrams_(context,
                 [this](std::string_view bytes, const net::endpoint &) { onDatagram(bytes); })
    , relay_(context, engine_)
    , acceptor_(context)
    , timer_(context)
{
    engine_.settings = engineSettings(values);
    engine_.random.seed(std::random_device{}());
    engine_.incarnation = engine_.random();
}

session_gateway::~session_gateway() = default;

std::error_code session_gateway::start()
{
    const tcp::endpoint local(values_.callerAddress.address, values_.callerAddress.port);
    boost::system::error_code error;
    acceptor_.open(local.protocol(), error);
    if (!error)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(local, error);
    if (!error)
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return { error.value(), std::system_category() };
    boost::system::error_code ignored;
    const auto own = boost::asio::ip::make_address(values_.address, ignored);
    if (const std::error_code failed = datagrams_.open({ own, values_.peerPort }))
        return failed;
    if (const std::error_code failed = relay_.start({ own, values_.peerPort }))
        return failed;
    store_.start();
    plan();
    const auto limit = std::make_shared<boost::asio::steady_timer>(context_, acceptDelay);
    limit->async_wait([this, limit](const boost::system::error_code &) { startAccepting(); });
    return {};
}

// Callers that connect while the manifest is being read wait in the listen queue, which is shorter
// than their way to another instance.
void session_gateway::startAccepting()
{
    if (std::exchange(accepting_, true))
        return;
    accept();
}

void session_gateway::applySettings(const session_settings &values)
{
    values_ = values;
    engine_.settings = engineSettings(values);
}

void session_gateway::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error) {
            // Out of descriptors or memory: callers that are served go on, others wait a moment.
            log_.write(socketEvent, "accept_failed", error.category().name());
            const auto pause = std::make_shared<boost::asio::steady_timer>(
                    context_, std::chrono::milliseconds(50));
            pause->async_wait([this, pause](const boost::system::error_code &) { accept(); });
            return;
        }
        const proxy::session_id id = ++lastSession_;
        auto entry = std::make_unique<caller>();
        entry->connection =
                net::line_connection::create(std::move(socket), adapter::maxMessageBytes);
        entry->connection->setHandlers(
                [this, id](std::string_view line) { onCallerLine(id, line); },
                [this, id] {
                    callers_.erase(id);
                    proxy::onCallerDisconnected(engine_, id, net::currentBootTime());
                    perform();
                });
        const auto connection = entry->connection;
        callers_.emplace(id, std::move(entry));
        connection->start(net::keepalive_profile::Long);
        accept();
    });
}

void session_gateway::onCallerLine(proxy::session_id id, std::string_view line)
{
    const auto found = callers_.find(id);
    if (found == callers_.end())
        return;
    caller &who = *found->second;
    const core::time_point now = net::currentBootTime();
    adapter::caller_line decoded = adapter::decodeCallerLine(line);
    if (auto *startup = std::get_if<adapter::startup_line>(&decoded); startup && !who.opened) {
        who.opened = true;
        const bool accepted =
                proxy::onSessionOpened(engine_, id, startup->database, startup->key, now);
        perform();
        if (!accepted)
            perform(proxy::close_caller{ id });
        return;
    }
    auto *statement = std::get_if<adapter::statement_line>(&decoded);
    if (statement == nullptr || !who.opened) {
        // The end of the session, or bytes that are not of the protocol.
        perform(proxy::close_caller{ id });
        proxy::onCallerDisconnected(engine_, id, now);
        perform();
        return;
    }
    who.askedAt = now;
    who.kind = statement->statement.kind;
    proxy::onCallerStatement(engine_, id, std::move(statement->statement), now);
    perform();
}

void session_gateway::onUpstreamLine(proxy::link_id id, std::string_view line)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    upstream &link = *found->second;
    auto answer = link.decoder.feed(line, !link.opened);
    if (link.decoder.failed()) {
        link.connection->close();
        upstreams_.erase(found);
        proxy::onLinkClosed(engine_, id, net::currentBootTime());
        perform();
        return;
    }
    if (!answer)
        return;
    link.opened = true;
    if (answer->rows.size() == 1)
        answer->status = adapter::decodeStatus(answer->rows.front());
    proxy::onMemberAnswer(engine_, id, std::move(*answer), net::currentBootTime());
    perform();
}

void session_gateway::onDatagram(std::string_view bytes)
{
    proxy::peer_message message;
    try {
        std::istringstream stream{ std::string(bytes) };
        cereal::BinaryInputArchive archive(stream);
        archive(message);
    } catch (const cereal::Exception &) {
        log_.write(socketEvent, "datagram_unreadable", {});
        return;
    }
    proxy::onPeerMessage(engine_, message, net::currentBootTime());
    perform();
}

void session_gateway::onInstances(const std::vector<listed_instance> &list)
{
    std::vector<proxy::peer_state> peers;
    peerAddresses_.clear();
    for (const listed_instance &each : list) {
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(each.row.address, error);
        // A daemon that can't be reached still owns what it has claimed.
        if (!error)
            peerAddresses_[each.node] = { address, values_.peerPort };
        proxy::peer_state peer;
        peer.node = each.node;
        peer.zone = each.row.zone;
        peer.incarnation = each.row.incarnation;
        peer.claimed = each.row.part;
        peers.push_back(std::move(peer));
    }
    proxy::onInstances(engine_, peers, net::currentBootTime());
    store_.setWatching(proxy::pollsStore(engine_));
    perform();
}

void session_gateway::perform()
{
    if (performing_)
        return;
    performing_ = true;
    // Carrying an action out can lead to further ones.
    while (!engine_.out.empty()) {
        std::vector<proxy::action> batch;
        batch.swap(engine_.out);
        for (const proxy::action &each : batch)
            std::visit([this](const auto &order) { perform(order); }, each);
    }
    performing_ = false;
    if (!accepting_ && proxy::isReady(engine_))
        startAccepting();
    plan();
    checkStopped();
}

void session_gateway::perform(const proxy::send_to_caller &order)
{
    const auto found = callers_.find(order.session);
    if (found == callers_.end())
        return;
    caller &who = *found->second;
    if (!order.opens)
        latencies_.record(who.kind, net::currentBootTime() - who.askedAt);
    who.connection->send(adapter::encodeReply(order.answer, order.opens));
    if (who.connection->queuedBytes() > maxQueuedAnswers) {
        log_.write(socketEvent, "caller_does_not_read", {});
        who.connection->close();
        const proxy::session_id id = order.session;
        callers_.erase(found);
        proxy::onCallerDisconnected(engine_, id, net::currentBootTime());
    }
}

void session_gateway::perform(const proxy::close_caller &order)
{
    const auto found = callers_.find(order.session);
    if (found == callers_.end())
        return;
    found->second->connection->closeGracefully();
    callers_.erase(found);
}

void session_gateway::perform(const proxy::open_link &order)
{
    net::endpoint peer;
    auto entry = std::make_unique<upstream>();
    const auto keeper = peerAddresses_.find(order.via);
    const bool lent = keeper != peerAddresses_.end();
    entry->connection = lent ? connectionTo(order.via, keeper->second)
                             : net::line_connection::create(context_, adapter::maxMessageBytes);
    const auto connection = entry->connection;
    const proxy::link_id id = order.link;
    const auto closed = [this, id] {
        upstreams_.erase(id);
        proxy::onLinkClosed(engine_, id, net::currentBootTime());
        perform();
    };
    connection->setHandlers([this, id](std::string_view line) { onUpstreamLine(id, line); },
                            closed);
    upstreams_.emplace(id, std::move(entry));
    if (lent)
        return;
    if (net::parseEndpoint(order.address, peer)) {
        boost::asio::post(context_, closed);
        return;
    }
    connection->connect(tcp::endpoint(peer.address, peer.port), net::keepalive_profile::Short);
}

std::shared_ptr<net::line_connection> session_gateway::connectionTo(const std::string &node,
                                                                    const net::endpoint &peer)
{
    auto &spares = spares_[node];
    std::shared_ptr<net::line_connection> taken;
    if (spares.empty()) {
        taken = net::line_connection::create(context_, adapter::maxMessageBytes);
        taken->connect(tcp::endpoint(peer.address, peer.port), net::keepalive_profile::Short);
    } else {
        taken = std::move(spares.back());
        spares.pop_back();
    }
    if (spares.size() < sparesPerKeeper)
        keepSpare(node, peer);
    return taken;
}

void session_gateway::keepSpare(const std::string &node, const net::endpoint &peer)
{
    const auto spare = net::line_connection::create(context_, adapter::maxMessageBytes);
    const auto drop = [this, node, raw = spare.get()] {
        std::erase_if(spares_[node], [raw](const auto &each) { return each.get() == raw; });
    };
    spare->setHandlers([](std::string_view) {}, drop);
    spare->connect(tcp::endpoint(peer.address, peer.port), net::keepalive_profile::Short);
    spares_[node].push_back(spare);
}

void session_gateway::perform(const proxy::send_to_member &order)
{
    const auto found = upstreams_.find(order.link);
    if (found == upstreams_.end())
        return;
    std::string text;
    for (const proxy::upstream_command &each : order.commands)
        text += adapter::encodeCommand(each);
    found->second->connection->send(std::move(text));
}

void session_gateway::perform(const proxy::close_link &order)
{
    const auto found = upstreams_.find(order.link);
    if (found == upstreams_.end())
        return;
    const auto connection = found->second->connection;
    if (order.graceful) {
        connection->send(std::string(adapter::farewell()));
        connection->closeGracefully();
    } else {
        connection->close();
    }
    upstreams_.erase(found);
}

void session_gateway::perform(const proxy::refresh_directory &)
{
    store_.refreshMembers();
}

void session_gateway::perform(const proxy::refresh_manifest &)
{
    store_.refreshManifest();
}

void session_gateway::perform(const proxy::acquire_fencing_token &order)
{
    store_.drawToken(order.service);
}

void session_gateway::perform(const proxy::order_promotion &order)
{
    store_.promote(order.service, order.member, order.token);
}

void session_gateway::perform(const proxy::send_to_peer &order)
{
    const auto found = peerAddresses_.find(order.peer);
    if (found == peerAddresses_.end())
        return;
    std::ostringstream stream;
    {
        cereal::BinaryOutputArchive archive(stream);
        archive(order.message);
    }
    datagrams_.send(found->second, stream.str());
}

void session_gateway::perform(const proxy::claim_part &order)
{
    store_.claim(order.part, engine_.incarnation);
}

void session_gateway::perform(const proxy::decision_note &order)
{
    log_.write(order, net::currentBootTime());
}

void session_gateway::plan()
{
    const core::time_point due = proxy::nextTimerAt(engine_);
    if (due >= planned_ && planned_ != core::noDeadline)
        return;
    planned_ = due;
    const core::time_point now = net::currentBootTime();
    timer_.expires_after(std::max(core::duration(0), due - now));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        planned_ = core::noDeadline;
        proxy::onTimer(engine_, net::currentBootTime());
        perform();
    });
}

void session_gateway::stop(std::function<void()> done)
{
    stopped_ = std::move(done);
    relay_.stop();
    proxy::onStop(engine_, net::currentBootTime());
    perform();
}

void session_gateway::checkStopped()
{
    if (!stopped_ || !engine_.stopping)
        return;
    constexpr std::chrono::milliseconds lastMoment{ 400 };
    const core::time_point now = net::currentBootTime();
    const bool idle =
            engine_.sessions.empty() && !relay_.isBusy()
            && now >= engine_.transactionDrainDeadline; // the balancer still sends callers here
    if (!idle && now < engine_.stopDeadline - lastMoment)
        return;
    const auto done = std::exchange(stopped_, nullptr);
    store_.stop();
    done();
}

} // namespace fuchsiagw::daemon
