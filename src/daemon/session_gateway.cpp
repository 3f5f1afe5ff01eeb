/// @file
/// @brief Passes socket events to the session engine and performs the engine's actions.

#include <fuchsiagw/daemon/session_gateway.hpp>

#include <fuchsiagw/daemon/session_datagram.hpp>
#include <fuchsiagw/detail/session_connections.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <boost/asio/post.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <string>

namespace fuchsiagw::daemon {

namespace {

using boost::asio::ip::tcp;

constexpr std::uint32_t reservedDescriptors = 200; // for files and the log; not for sessions
/// The caller's socket and a share of the sockets to members.
constexpr std::uint32_t descriptorsPerSession = 2;
constexpr std::size_t memoryPerSession = 32 * 1024; // bytes
/// If no manifest has been read after this time, callers are accepted and refused at once instead
/// of waiting in the listen backlog.
constexpr std::chrono::milliseconds maxAcceptDelay{ 800 };
/// Unreadable datagrams are counted, and logged at most this often.
constexpr std::chrono::seconds unreadableLogInterval{ 1 };
constexpr int storeEventNumber = 930;
constexpr int droppedEventNumber = 932;
constexpr int stopEventNumber = 934;
/// Lent connections are returned this long before the end of the grace period.
constexpr std::chrono::milliseconds lendMargin{ 1'000 };
/// Pause after a timer handler that failed, which is then due again at once.
constexpr std::chrono::milliseconds failedTimerPause{ 50 };

std::uint32_t sessionLimit(const session_settings &values)
{
    const std::uint32_t descriptors =
            values.openFiles > reservedDescriptors ? values.openFiles - reservedDescriptors : 1;
    const std::size_t memory = std::size_t{ values.memoryMegabytes } * 1024 * 1024;
    const std::size_t sessionsByMemory =
            memory > reservedMemory ? (memory - reservedMemory) / memoryPerSession : 64;
    return static_cast<std::uint32_t>(
            std::min<std::size_t>(descriptors / descriptorsPerSession, sessionsByMemory));
}

proxy::engine_settings engineSettings(const session_settings &values)
{
    proxy::engine_settings result;
    result.node = values.instance;
    result.zone = values.zone;
    result.maxSessions = sessionLimit(values);
    result.drainLimit = values.drainLimit;
    result.gracePeriod = values.gracePeriod;
    result.promotionsAreFenced = values.promotionsAreFenced;
    result.evacuationLimit = values.evacuationLimit;
    result.priorityAdmission = values.priorityAdmission;
    result.memberLimits = values.memberLimits;
    result.commitsNeedReceipts = true;
    result.capacity = values.cpuShare;
    result.configurationLimit = values.configurationLimit;
    return result;
}

} // namespace

session_gateway::session_gateway(boost::asio::io_context &context, const session_settings &values,
                                 session_log &log)
    : context_(context)
    , values_(values)
    , log_(log)
    , store_(context, values,
             { [this](std::shared_ptr<const proxy::manifest> next, proxy::manifest_source source) {
                  proxy::onManifest(engine_, std::move(next), net::currentBootTime(), source);
                  perform();
              },
               [this](const proxy::manifest_sync &sync) {
                   proxy::onManifestChecked(engine_, sync.provenAt, proxy::isManifestMissing(sync));
               },
               [this](const std::set<std::string> &zones, std::uint64_t version) {
                   proxy::onEvacuations(engine_, zones, version, "store", net::currentBootTime());
                   perform();
               },
               [this](const std::vector<proxy::listed_member> &list) {
                   proxy::onMemberList(engine_, list, net::currentBootTime());
                   perform();
               },
               [this](const std::vector<listed_instance> &list) { onInstances(list); },
               [this](const std::string &service, std::uint64_t token,
                      const proxy::open_orders &orders) {
                   proxy::onTokenAcquired(engine_, service, token, net::currentBootTime(), orders);
                   perform();
               },
               [this](const std::string &service, const proxy::open_orders &orders,
                      std::uint64_t version) {
                   proxy::onOpenOrdersRead(engine_, service, orders, version,
                                           net::currentBootTime());
                   perform();
               },
               [this](const std::string &service, std::uint64_t token, bool isRecorded) {
                   proxy::onOrdersRecorded(engine_, service, token, isRecorded,
                                           net::currentBootTime());
                   perform();
               },
               [this](const std::string &service, std::chrono::milliseconds left,
                      const proxy::open_orders &orders, std::uint64_t version) {
                   const core::time_point now = net::currentBootTime();
                   proxy::onTokenHeldElsewhere(engine_, service, now + left, now, orders, version);
                   perform();
               },
               [this](const std::string &service) {
                   proxy::onPromotionsDisabled(engine_, service, net::currentBootTime());
                   perform();
               },
               [this](const proxy::order_promotion &order, proxy::promote_outcome outcome) {
                   proxy::onPromoteAnswer(engine_, order, outcome, net::currentBootTime());
                   perform();
               },
               [this](std::string_view name, std::string_view detail) {
                   log_.write(storeEventNumber, name, detail);
               } })
    , datagrams_(context,
                 [this](std::string_view bytes, const net::endpoint &) { onDatagram(bytes); })
    , relay_(context, engine_,
             [this](const std::string &member, proxy::reply_fault fault) {
                 onReplyFault(member, fault);
             })
    , acceptor_(context)
    , timer_(context)
{
    relay_.setLoadHandlers(
            [this](const proxy::decision_note &note) { log_.write(note, net::currentBootTime()); },
            [this](const std::string &member, const proxy::member_load &load) {
                proxy::announceLoad(engine_, member, load, net::currentBootTime());
                perform();
            });
    engine_.settings = engineSettings(values);
    applyMemoryLimits();
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
    const auto ownAddress = boost::asio::ip::make_address(values_.address, ignored);
    if (const std::error_code failed = datagrams_.open({ ownAddress, values_.peerPort }))
        return failed;
    if (const std::error_code failed = relay_.start({ ownAddress, values_.peerPort }))
        return failed;
    store_.start();
    scheduleTimer();
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, maxAcceptDelay);
    timer->async_wait([this, timer](const boost::system::error_code &) { startAccepting(); });
    return {};
}

// Callers that connect while the manifest is being read wait in the listen backlog. This wait is
// shorter than a reconnect to another instance.
void session_gateway::startAccepting()
{
    if (std::exchange(isAccepting_, true))
        return;
    accept();
}

void session_gateway::applySettings(const session_settings &values)
{
    values_ = values;
    engine_.settings = engineSettings(values);
    applyMemoryLimits();
}

void session_gateway::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error) {
            // Out of descriptors or memory: existing connections are still served, and accepting is
            // retried after a pause.
            log_.write(socketEventNumber, "accept_failed", error.category().name());
            const auto pause = std::make_shared<boost::asio::steady_timer>(
                    context_, std::chrono::milliseconds(50));
            pause->async_wait([this, pause](const boost::system::error_code &) { accept(); });
            return;
        }
        const proxy::session_id id = ++lastSession_;
        auto entry = std::make_unique<caller_connection>();
        entry->connection =
                net::line_connection::create(std::move(socket), adapter::maxMessageBytes);
        entry->connection->setBudget(callerBytes_);
        entry->connection->setLineGate(
                [this, id](std::size_t bytes) { return reserve(statementMemory_, id, bytes); });
        entry->connection->setHandlers(
                [this, id](std::string_view line) { onCallerLine(id, line); },
                [this, id] {
                    callers_.erase(id);
                    release(statementMemory_, id);
                    resumeHeldStatements();
                    proxy::onCallerDisconnected(engine_, id, net::currentBootTime());
                    perform();
                });
        const auto connection = entry->connection;
        callers_.emplace(id, std::move(entry));
        connection->start(net::keepalive_profile::Long);
        limitConnections();
        accept();
    });
}

void session_gateway::onDatagram(std::string_view bytes)
{
    const core::time_point now = net::currentBootTime();
    const auto message = decodeDatagram(bytes);
    if (!message) {
        ++unreadableDatagrams_;
        if (now >= nextUnreadableLogAt_) {
            nextUnreadableLogAt_ = now + unreadableLogInterval;
            log_.write(socketEventNumber, "datagram_unreadable",
                       std::to_string(unreadableDatagrams_));
        }
        return;
    }
    // The network may deliver a datagram twice, which would credit its tokens twice.
    if (!receivedDatagrams_.accept(message->incarnation, message->sequence, now)) {
        ++repeatedDatagrams_;
        return;
    }
    runGuarded("datagram", [&] { proxy::onPeerMessage(engine_, *message, now); });
    perform();
}

bool session_gateway::runGuarded(std::string_view source, const std::function<void()> &handler)
{
    try {
        handler();
        return true;
    } catch (const std::exception &failure) {
        ++droppedEvents_;
        log_.write(droppedEventNumber, "event_dropped",
                   std::string(source) + ": " + failure.what());
        return false;
    }
}

void session_gateway::onInstances(const std::vector<listed_instance> &list)
{
    std::vector<proxy::peer_state> peers;
    peerAddresses_.clear();
    for (const listed_instance &each : list) {
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(each.row.address, error);
        // A daemon with an invalid address still owns the part of the limits that it has claimed.
        if (!error)
            peerAddresses_[each.node] = { address, values_.peerPort };
        proxy::peer_state peer;
        peer.node = each.node;
        peer.zone = each.row.zone;
        peer.incarnation = each.row.incarnation;
        peer.claimed = each.row.part;
        peer.capacity = each.row.capacity;
        peers.push_back(std::move(peer));
    }
    proxy::onInstances(engine_, peers, net::currentBootTime());
    store_.setReaderRank(proxy::storeReaderRank(engine_));
    perform();
}

void session_gateway::perform()
{
    if (isPerforming_)
        return;
    isPerforming_ = true;
    // Performing an action can queue further actions.
    while (!engine_.out.empty()) {
        std::vector<proxy::action> batch;
        batch.swap(engine_.out);
        for (const proxy::action &next : batch) {
            runGuarded("action",
                       [&] { std::visit([this](const auto &action) { perform(action); }, next); });
        }
    }
    isPerforming_ = false;
    if (!isAccepting_ && proxy::isReady(engine_))
        startAccepting();
    scheduleTimer();
    logPressure();
    finishStopIfDrained();
}

void session_gateway::perform(const proxy::refresh_directory &)
{
    store_.refreshMembers();
}

void session_gateway::perform(const proxy::refresh_manifest &action)
{
    store_.refreshManifest(action.version);
}

void session_gateway::perform(const proxy::confirm_manifest &action)
{
    store_.confirmManifest(action.version, action.provenAt);
}

void session_gateway::perform(const proxy::acquire_fencing_token &action)
{
    store_.acquireFencingToken(action.service);
}

void session_gateway::perform(const proxy::read_open_orders &action)
{
    store_.readOpenOrders(action.service);
}

void session_gateway::perform(const proxy::record_open_orders &action)
{
    store_.recordOrders(action.service, action.token, action.orders);
}

void session_gateway::perform(const proxy::order_promotion &action)
{
    // The process may have been suspended since the order was decided.
    const core::time_point now = net::currentBootTime();
    if (now >= action.validUntil)
        proxy::onPromoteAnswer(engine_, action, proxy::promote_outcome::Refused, now);
    else
        store_.promote(action);
}

void session_gateway::perform(const proxy::send_to_peer &action)
{
    const auto found = peerAddresses_.find(action.peer);
    if (found == peerAddresses_.end())
        return;
    proxy::peer_message message = action.message;
    message.sequence = ++lastDatagram_;
    datagrams_.send(found->second, encodeDatagram(message));
}

void session_gateway::perform(const proxy::claim_part &action)
{
    store_.claim(action.part, engine_.incarnation);
}

void session_gateway::perform(const proxy::decision_note &action)
{
    log_.write(action, net::currentBootTime());
}

void session_gateway::scheduleTimer()
{
    const core::time_point dueAt = std::max(proxy::nextTimerAt(engine_), earliestTimerAt_);
    if (dueAt >= timerDueAt_ && timerDueAt_ != core::noDeadline)
        return;
    timerDueAt_ = dueAt;
    const core::time_point now = net::currentBootTime();
    timer_.expires_after(std::max(core::duration(0), dueAt - now));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        timerDueAt_ = core::noDeadline;
        const bool handled =
                runGuarded("timer", [this] { proxy::onTimer(engine_, net::currentBootTime()); });
        earliestTimerAt_ = handled ? core::time_point{} : net::currentBootTime() + failedTimerPause;
        perform();
    });
}

void session_gateway::stop(std::function<void()> done)
{
    onStopped_ = std::move(done);
    const core::time_point now = net::currentBootTime();
    relay_.stop(now + values_.gracePeriod - lendMargin);
    proxy::onStop(engine_, now);
    perform();
}

void session_gateway::finishStopIfDrained()
{
    if (!onStopped_ || !engine_.stopping)
        return;
    constexpr std::chrono::milliseconds stopMargin{ 400 };
    const core::time_point now = net::currentBootTime();
    // Until the drain deadline the load balancer may still send new callers to this instance.
    // The end of the process would reset connections whose last answer is still on its way.
    std::erase_if(closingCallers_, [](const auto &each) { return each.expired(); });
    const bool isIdle = engine_.sessions.empty() && closingCallers_.empty() && !relay_.isBusy()
                        && now >= engine_.transactionDrainDeadline;
    if (!isIdle && now < engine_.stopDeadline - stopMargin)
        return;
    const auto done = std::exchange(onStopped_, nullptr);
    log_.write(stopEventNumber, "stop_finished",
               fmt::format("sessions={}", engine_.sessions.size()));
    proxy::closeRemainingSessions(engine_, now);
    perform();
    store_.stop();
    done();
}

} // namespace fuchsiagw::daemon
