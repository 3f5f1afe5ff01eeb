/// @file
/// @brief Parsing and formatting of endpoints.

#include <fuchsiagw/net/endpoint.hpp>

#include <fuchsiagw/core/error_kind.hpp>

#include <charconv>

namespace fuchsiagw::net {

std::error_code parseEndpoint(std::string_view text, endpoint &result)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return core::error_kind::InvalidValue;
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);

    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(std::string(host), addressError);
    if (addressError || address.is_v6() != bracketed)
        return core::error_kind::InvalidValue;
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
        return core::error_kind::InvalidValue;
    result = { address, port };
    return {};
}

std::string toString(const endpoint &value)
{
    const std::string host = value.address.to_string();
    const std::string port = std::to_string(value.port);
    return value.address.is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace fuchsiagw::net
