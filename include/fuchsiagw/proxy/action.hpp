/// @file
/// @brief What the engine asks its driver to do.

#pragma once

#include <fuchsiagw/proxy/decision_note.hpp>
#include <fuchsiagw/proxy/peer_message.hpp>
#include <fuchsiagw/proxy/reply.hpp>
#include <fuchsiagw/proxy/session.hpp>
#include <fuchsiagw/proxy/upstream_command.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fuchsiagw::proxy {

struct send_to_caller
{
    session_id session = 0;
    reply answer;
    bool opens = false; ///< answers the session's opening, not a statement
};

/// After what was sent to the caller before.
struct close_caller
{
    session_id session = 0;
};

struct open_link
{
    link_id link = 0;
    std::string address;
    std::string via; ///< daemon that keeps the member's connections; empty: directly
};

/// In order, in one write if the link is open; kept until then if it is not.
struct send_to_member
{
    link_id link = 0;
    std::vector<upstream_command> commands;
};

struct close_link
{
    link_id link = 0;
    bool graceful = false; ///< tells the member first
};

/// The list of members may be out of date.
struct refresh_directory
{ };

/// Another daemon has a newer manifest, so the feed that should bring it may be silent.
struct refresh_manifest
{ };

/// A compare-and-set on the service's promotion row; answered with onTokenAcquired().
struct acquire_fencing_token
{
    std::string service;
};

/// Names a member as the next primary; answered with onPromoteAnswer().
struct order_promotion
{
    std::string service;
    std::string member;
    std::uint64_t token = 0;
};

struct send_to_peer
{
    std::string peer; ///< node name
    peer_message message;
};

/// Writes the own row of the list of daemons, if nobody has changed it since it was read; then the
/// list is read again.
struct claim_part
{
    limit_part part = 0; ///< of every limit; 0 only says that this daemon takes part
};

using action = std::variant<send_to_caller, close_caller, open_link, send_to_member, close_link,
                            refresh_directory, refresh_manifest, acquire_fencing_token,
                            order_promotion, send_to_peer, claim_part, decision_note>;

} // namespace fuchsiagw::proxy
