/// @file
/// @brief Network endpoints written as IP address and port.

#pragma once

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace fuchsiagw::net {

/// An IP address and a port, independent of the transport protocol.
struct endpoint
{
    boost::asio::ip::address address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint &, const endpoint &) = default;
};

/// @brief Parses `192.0.2.1:80` or `[2001:db8::1]:80`. Host names are not resolved.
/// @return error_kind::InvalidValue if @p text is anything else; @p result is then unchanged
[[nodiscard]] std::error_code parseEndpoint(std::string_view text, endpoint &result);

/// @return the form that parseEndpoint() reads
[[nodiscard]] std::string toString(const endpoint &value);

} // namespace fuchsiagw::net
