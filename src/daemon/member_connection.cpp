/// @file
/// @brief Pairing of replies with commands on one connection.

#include <fuchsiagw/daemon/member_connection.hpp>

#include <utility>

namespace fuchsiagw::daemon {

std::shared_ptr<member_connection>
member_connection::create(std::shared_ptr<net::line_connection> connection, event_handlers handlers)
{
    std::shared_ptr<member_connection> created(
            new member_connection(std::move(connection), std::move(handlers)));
    created->connection_->setHandlers(
            [weak = created->weak_from_this()](std::string_view line) {
                if (const auto self = weak.lock())
                    self->onLine(line);
            },
            [weak = created->weak_from_this()] {
                if (const auto self = weak.lock())
                    self->fail();
            });
    return created;
}

member_connection::member_connection(std::shared_ptr<net::line_connection> connection,
                                     event_handlers handlers)
    : connection_(std::move(connection))
    , handlers_(std::move(handlers))
{ }

void member_connection::connect(const boost::asio::ip::tcp::endpoint &peer,
                                net::keepalive_profile profile)
{
    connection_->connect(peer, profile);
}

void member_connection::send(std::string &&text, const std::vector<proxy::reply_shape> &expected)
{
    if (closed_ || pairing_.hasSurplus)
        return;
    pairing_.expected.insert(pairing_.expected.end(), expected.begin(), expected.end());
    connection_->send(std::move(text));
}

void member_connection::close()
{
    closed_ = true;
    connection_->close();
}

void member_connection::closeGracefully()
{
    closed_ = true;
    connection_->send(std::string(adapter::terminateMessage()));
    connection_->closeGracefully();
}

void member_connection::fail()
{
    if (closed_)
        return;
    close();
    if (handlers_.onRecalled && !connection_->wasOpened())
        handlers_.onRecalled();
    else
        handlers_.onClosed();
}

void member_connection::onLine(std::string_view line)
{
    if (closed_)
        return;
    if (handlers_.onRecalled && text_.empty() && line == adapter::terminateKeyword()) {
        onRecall();
        return;
    }
    const bool opens = hasOutstanding() && pairing_.expected.front() == proxy::reply_shape::Startup;
    text_.append(line).append(adapter::lineEnd());
    auto received = decoder_.feed(line, opens);
    // Without a command a line is rejected at once: the next command would get the rest of it.
    const bool isUnsolicited = !hasOutstanding();
    if (decoder_.failed() || isUnsolicited) {
        handlers_.onFault(isUnsolicited ? proxy::reply_fault::Unsolicited
                                        : proxy::reply_fault::Unreadable);
        fail();
    } else if (received) {
        onReply(std::move(*received));
    }
}

void member_connection::onRecall()
{
    // A reply that was dropped here may have been the one to an outstanding command.
    if (pairing_.hasSurplus) {
        fail();
        return;
    }
    close();
    handlers_.onRecalled();
}

void member_connection::onReply(proxy::reply &&received)
{
    const proxy::paired_reply paired = pairReply(pairing_, received);
    const std::string text = std::exchange(text_, {});
    if (paired.fault != proxy::reply_fault::None)
        handlers_.onFault(paired.fault);
    received.endsConnection = paired.action == proxy::reply_action::DeliverAndClose;
    if (paired.action == proxy::reply_action::Deliver
        || paired.action == proxy::reply_action::DeliverAndClose)
        handlers_.onReply(std::move(received), text);
    if (paired.action == proxy::reply_action::Close
        || paired.action == proxy::reply_action::DeliverAndClose)
        fail();
}

} // namespace fuchsiagw::daemon
