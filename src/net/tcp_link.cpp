/// @file
/// @brief Opening, accepting, monitoring and closing of TCP links.

#include <fuchsiagw/net/tcp_link.hpp>

#include <fuchsiagw/detail/tcp_connection.hpp>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace fuchsiagw::net {

namespace {

using boost::asio::ip::tcp;
using detail::tcp_connection;

/// How often links are checked for due heartbeats and timeouts.
constexpr std::chrono::milliseconds checkInterval{ 50 };

/// Delay after a failed accept, for example without free file descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{ 100 };

} // namespace

struct tcp_links::state : std::enable_shared_from_this<tcp_links::state>
{
    boost::asio::io_context &context;
    tcp_settings settings;
    tcp_handlers handlers;
    std::shared_ptr<tcp_counters> counters = std::make_shared<tcp_counters>();
    tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    boost::asio::steady_timer checkTimer;
    bool isChecking = false;
    bool isShutDown = false;
    link_id lastId = 0;
    std::map<link_id, std::shared_ptr<tcp_connection>> links;
    std::map<tcp::endpoint, link_id> outgoing; ///< only links that are not closing
    std::map<tcp::endpoint, tcp_connection::clock::time_point> reconnectAllowedAt;

    state(boost::asio::io_context &ioContext, const tcp_settings &tcpSettings,
          tcp_handlers tcpHandlers)
        : context(ioContext)
        , settings(tcpSettings)
        , handlers(std::move(tcpHandlers))
        , acceptor(ioContext)
        , acceptTimer(ioContext)
        , checkTimer(ioContext)
    { }

    std::shared_ptr<tcp_connection> add(tcp::socket socket, bool isIncoming)
    {
        const link_id id = ++lastId;
        const std::weak_ptr<state> weak = weak_from_this();
        detail::connection_events events;
        events.onOpen = [weak, id] {
            if (const auto self = weak.lock())
                self->onOpen(id);
        };
        events.onFrame = [weak, id](std::string_view frame) {
            if (const auto self = weak.lock(); self && !self->isShutDown)
                self->handlers.onFrame(id, frame);
        };
        events.onClosed = [weak, id](const link_closure &end) {
            if (const auto self = weak.lock())
                self->onClosed(id, end);
        };
        auto connection = std::make_shared<tcp_connection>(std::move(socket), settings, counters,
                                                           std::move(events), isIncoming);
        links.emplace(id, connection);
        startChecking();
        return connection;
    }

    void onOpen(link_id id)
    {
        const auto entry = links.find(id);
        if (isShutDown || entry == links.end())
            return;
        ++counters->opened;
        const tcp::endpoint peer = entry->second->peer();
        handlers.onOpen(id, { peer.address(), peer.port() }, entry->second->isIncoming());
    }

    void onClosed(link_id id, const link_closure &end)
    {
        const auto entry = links.find(id);
        if (isShutDown || entry == links.end())
            return;
        const std::shared_ptr<tcp_connection> connection = entry->second;
        links.erase(entry);
        removeOutgoing(id, *connection);
        if (!connection->wasOpen() && !connection->isIncoming())
            recordConnectFailure(connection->peer());
        ++counters->closed;
        handlers.onClose(id, end);
    }

    void removeOutgoing(link_id id, const tcp_connection &connection)
    {
        const auto entry = outgoing.find(connection.peer());
        if (entry != outgoing.end() && entry->second == id)
            outgoing.erase(entry);
    }

    void recordConnectFailure(const tcp::endpoint &peer)
    {
        const auto now = tcp_connection::clock::now();
        std::erase_if(reconnectAllowedAt, [now](const auto &each) { return each.second <= now; });
        reconnectAllowedAt[peer] = now + settings.reconnectDelay;
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &error,
                                                          tcp::socket socket) {
            self->onAccepted(error, std::move(socket));
        });
    }

    void onAccepted(const boost::system::error_code &error, tcp::socket socket)
    {
        if (isShutDown || !acceptor.is_open())
            return;
        if (error) {
            acceptTimer.expires_after(acceptRetryDelay);
            acceptTimer.async_wait([self = shared_from_this()](const boost::system::error_code &) {
                if (!self->isShutDown && self->acceptor.is_open())
                    self->accept();
            });
            return;
        }
        if (links.size() >= settings.maxLinks)
            ++counters->refused;
        else
            add(std::move(socket), true)->startAccepted();
        accept();
    }

    void startChecking()
    {
        if (isChecking || isShutDown)
            return;
        isChecking = true;
        checkTimer.expires_after(checkInterval);
        checkTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            if (const auto self = weak.lock(); self && !error)
                self->checkAll();
        });
    }

    void checkAll()
    {
        isChecking = false;
        const auto now = tcp_connection::clock::now();
        for (const auto &[id, connection] : links) {
            connection->checkLiveness(now);
            // A closing link accepts no frames, so the next frame needs a new link.
            if (connection->isClosing())
                removeOutgoing(id, *connection);
        }
        if (!links.empty())
            startChecking();
    }

    void shutDown()
    {
        isShutDown = true;
        boost::system::error_code ignored;
        acceptor.close(ignored);
        acceptTimer.cancel();
        checkTimer.cancel();
        for (const auto &[id, connection] : links)
            connection->close(std::make_error_code(std::errc::operation_canceled));
        links.clear();
    }
};

tcp_links::tcp_links(boost::asio::io_context &context, const tcp_settings &settings,
                     tcp_handlers handlers)
    : state_(std::make_shared<state>(context, settings, std::move(handlers)))
{ }

tcp_links::~tcp_links()
{
    state_->shutDown();
}

std::error_code tcp_links::listen(const endpoint &local)
{
    const tcp::endpoint address(local.address, local.port);
    tcp::acceptor &acceptor = state_->acceptor;
    boost::system::error_code error;
    acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error) {
        stopListening();
        return error;
    }
    state_->accept();
    return {};
}

endpoint tcp_links::local() const
{
    boost::system::error_code ignored;
    const tcp::endpoint address = state_->acceptor.local_endpoint(ignored);
    return { address.address(), address.port() };
}

link_id tcp_links::findOrOpenLink(const endpoint &to, bool &isNew)
{
    isNew = false;
    const tcp::endpoint address(to.address, to.port);
    const auto existing = state_->outgoing.find(address);
    if (existing != state_->outgoing.end()) {
        const auto entry = state_->links.find(existing->second);
        if (entry != state_->links.end() && !entry->second->isClosing())
            return existing->second;
    }
    const auto failed = state_->reconnectAllowedAt.find(address);
    const bool isReconnectDelayed = failed != state_->reconnectAllowedAt.end()
                                    && tcp_connection::clock::now() < failed->second;
    if (state_->isShutDown || isReconnectDelayed
        || state_->links.size() >= state_->settings.maxLinks)
        return 0;
    isNew = true;
    const auto connection = state_->add(tcp::socket(state_->context), false);
    state_->outgoing[address] = state_->lastId;
    connection->startConnect(address);
    return state_->lastId;
}

bool tcp_links::send(link_id link, frame_tag tag, std::string_view frame)
{
    const auto entry = state_->links.find(link);
    return entry != state_->links.end() && entry->second->send(tag, frame);
}

void tcp_links::trust(link_id link)
{
    const auto entry = state_->links.find(link);
    if (entry != state_->links.end())
        entry->second->trust();
}

void tcp_links::close(link_id link)
{
    const auto entry = state_->links.find(link);
    if (entry == state_->links.end())
        return;
    state_->removeOutgoing(link, *entry->second);
    entry->second->close(std::make_error_code(std::errc::operation_canceled));
}

void tcp_links::stopListening()
{
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
}

std::size_t tcp_links::size() const
{
    return state_->links.size();
}

const tcp_counters &tcp_links::counters() const
{
    return *state_->counters;
}

} // namespace fuchsiagw::net
