/// @file
/// @brief Variant of all message bodies that daemons exchange in datagrams.

#pragma once

#include <fuchsiagw/core/config_spread.hpp>
#include <fuchsiagw/core/group_view.hpp>
#include <fuchsiagw/core/incarnation_lease.hpp>
#include <fuchsiagw/core/loan_policy.hpp>

// The codec finds isValid() by argument-dependent lookup, so it is declared in the types'
// namespace.
namespace fuchsiagw::core {

[[nodiscard]] inline bool isValid(const spread_message &value)
{
    return value.kind <= spread_kind::Announcement;
}
[[nodiscard]] inline bool isValid(const resource_id &value)
{
    return value.kind <= resource_kind::Connections;
}
[[nodiscard]] bool isValid(const loan_request &value);
[[nodiscard]] bool isValid(const loan_grant &value);
[[nodiscard]] bool isValid(const loan_returns &value);

} // namespace fuchsiagw::core

#include <fuchsiagw/wire/peer_codec.hpp>
#include <fuchsiagw/wire/peer_message.hpp>

#include <optional>
#include <string_view>
#include <variant>

namespace fuchsiagw::daemon {

using digest = wire::digest_message<core::spread_message>;

using peer_body =
        std::variant<digest, wire::probe_message, core::published_view, core::lease_request,
                     core::lease_promise, core::vote_request, core::expiry_vote, core::loan_request,
                     core::loan_grant, core::loan_returns>;

/// @return the message kind of a body
[[nodiscard]] wire::peer_kind kindOf(const peer_body &body);

/// @brief Reads the body of a datagram.
/// @return nullopt if the body is damaged or @p kind is not sent in datagrams
[[nodiscard]] std::optional<peer_body> readPeerBody(wire::peer_kind kind, std::string_view bytes);

} // namespace fuchsiagw::daemon
