/// @file
/// @brief Opening, accepting, watching and closing of TCP links.

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

/// How often links are checked for heartbeats and silence.
constexpr std::chrono::milliseconds checkEvery{ 50 };

/// Pause after a failed accept, for example without free file descriptors.
constexpr std::chrono::milliseconds acceptPause{ 100 };

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
    bool isShut = false;
    link_id last = 0;
    std::map<link_id, std::shared_ptr<tcp_connection>> links;
    std::map<tcp::endpoint, link_id> outgoing; ///< only links that are not closing
    std::map<tcp::endpoint, tcp_connection::clock::time_point> failedUntil;

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
        const link_id id = ++last;
        const std::weak_ptr<state> weak = weak_from_this();
        detail::connection_events events;
        events.onOpen = [weak, id] {
            if (const auto self = weak.lock())
                self->onOpen(id);
        };
        events.onFrame = [weak, id](std::string_view frame) {
            if (const auto self = weak.lock(); self && !self->isShut)
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
        if (isShut || entry == links.end())
            return;
        ++counters->opened;
        const tcp::endpoint peer = entry->second->peer();
        handlers.onOpen(id, { peer.address(), peer.port() }, entry->second->isIncoming());
    }

    void onClosed(link_id id, const link_closure &end)
    {
        const auto entry = links.find(id);
        if (isShut || entry == links.end())
            return;
        const std::shared_ptr<tcp_connection> connection = entry->second;
        links.erase(entry);
        forgetOutgoing(id, *connection);
        if (!connection->wasOpen() && !connection->isIncoming())
            noteFailure(connection->peer());
        ++counters->closed;
        handlers.onClose(id, end);
    }

    void forgetOutgoing(link_id id, const tcp_connection &connection)
    {
        const auto entry = outgoing.find(connection.peer());
        if (entry != outgoing.end() && entry->second == id)
            outgoing.erase(entry);
    }

    void noteFailure(const tcp::endpoint &peer)
    {
        const auto now = tcp_connection::clock::now();
        std::erase_if(failedUntil, [now](const auto &each) { return each.second <= now; });
        failedUntil[peer] = now + settings.retryAfter;
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
        if (isShut || !acceptor.is_open())
            return;
        if (error) {
            acceptTimer.expires_after(acceptPause);
            acceptTimer.async_wait([self = shared_from_this()](const boost::system::error_code &) {
                if (!self->isShut && self->acceptor.is_open())
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
        if (isChecking || isShut)
            return;
        isChecking = true;
        checkTimer.expires_after(checkEvery);
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
            connection->check(now);
            // A link that is closing takes no frames, so the next one goes to a new link.
            if (connection->isClosing())
                forgetOutgoing(id, *connection);
        }
        if (!links.empty())
            startChecking();
    }

    void shut()
    {
        isShut = true;
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
    state_->shut();
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
    const auto known = state_->outgoing.find(address);
    if (known != state_->outgoing.end()) {
        const auto entry = state_->links.find(known->second);
        if (entry != state_->links.end() && !entry->second->isClosing())
            return known->second;
    }
    const auto failed = state_->failedUntil.find(address);
    const bool isTooSoon =
            failed != state_->failedUntil.end() && tcp_connection::clock::now() < failed->second;
    if (state_->isShut || isTooSoon || state_->links.size() >= state_->settings.maxLinks)
        return 0;
    isNew = true;
    const auto connection = state_->add(tcp::socket(state_->context), false);
    state_->outgoing[address] = state_->last;
    connection->startConnect(address);
    return state_->last;
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
    state_->forgetOutgoing(link, *entry->second);
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
