/// @file
/// @brief Actions that the engine requests from its driver.

#pragma once

#include <fuchsiagw/proxy/decision_note.hpp>
#include <fuchsiagw/proxy/peer_message.hpp>
#include <fuchsiagw/proxy/promotion_order.hpp>
#include <fuchsiagw/proxy/reply.hpp>
#include <fuchsiagw/proxy/session.hpp>
#include <fuchsiagw/proxy/upstream_command.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fuchsiagw::proxy {

struct send_to_caller
{
    session_id session = 0;
    reply answer;
    bool opens = false; ///< answers the opening of the session, not a statement
};

/// Closes the caller's connection after all earlier answers were sent.
struct close_caller
{
    session_id session = 0;
    /// Sent last. It answers a statement that crosses the close and is therefore dropped; a caller
    /// without an outstanding statement ends its session. None: the caller expects no answer.
    std::optional<reply> notice;
};

struct open_link
{
    link_id link = 0;
    std::string address;
    std::string relay; ///< relay that lends the connection; empty: connect directly
};

/// Sends commands in order, in one write. They are buffered until the link is open.
struct send_to_member
{
    link_id link = 0;
    std::vector<upstream_command> commands;
};

struct close_link
{
    link_id link = 0;
    bool graceful = false; ///< tells the member before closing
};

/// Reads the list of members again, because it may be out of date.
struct refresh_directory
{ };

/// Another daemon has proven that this version of the manifest was the newest one at a time.
struct confirm_manifest
{
    std::uint64_t version = 0;
    core::time_point provenAt{};
};

/// Reads the manifest unless the change feed delivers it soon: another daemon has a newer one.
struct refresh_manifest
{
    std::uint64_t version = 0; ///< version that the other daemon has
};

/// Acquires a fencing token by a compare-and-set on the service's promotion row; answered with
/// onTokenAcquired().
struct acquire_fencing_token
{
    std::string service;
};

/// Reads the open orders in the service's promotion row; answered with onOpenOrdersRead().
struct read_open_orders
{
    std::string service;
};

/// Records the open orders of a service in its promotion row, unless another daemon has acquired a
/// token since; answered with onOrdersRecorded().
struct record_open_orders
{
    std::string service;
    std::uint64_t token = 0; ///< this daemon's token
    open_orders orders;
};

/// Promotes a member to primary; answered with onPromoteAnswer().
struct order_promotion
{
    std::string service;
    std::string member;
    std::uint64_t token = 0;
    core::time_point validUntil{}; ///< not sent later: another daemon may hold the token by then
};

struct send_to_peer
{
    std::string peer; ///< node name
    peer_message message;
};

/// Writes this daemon's row in the list of daemons by a compare-and-set; then reads the list again.
struct claim_part
{
    limit_part part = 0; ///< claimed part of every limit; 0 only registers this daemon
};

using action = std::variant<send_to_caller, close_caller, open_link, send_to_member, close_link,
                            refresh_directory, refresh_manifest, confirm_manifest,
                            acquire_fencing_token, read_open_orders, record_open_orders,
                            order_promotion, send_to_peer, claim_part, decision_note>;

} // namespace fuchsiagw::proxy
