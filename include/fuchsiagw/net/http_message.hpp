/// @file
/// @brief HTTP requests and responses as plain values, independent of the HTTP libraries.

#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fuchsiagw::net {

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request
{
    std::string method; ///< upper case
    std::string target; ///< path and query
    http_headers headers;
    std::string body;
};

struct http_response
{
    int status = 0;
    http_headers headers;
    std::string body;
};

/// @return whether the method, target and headers are read back as they are: no byte in them ends
/// the part of the message in which it stands
/// @complexity linear in the size of these parts
[[nodiscard]] bool isWritable(const http_request &request);

/// @brief Finds a header by its case-insensitive name.
/// @return the value, empty if there is no such header
/// @complexity linear in the number of headers
[[nodiscard]] std::string_view findHeader(const http_headers &headers, std::string_view name);

} // namespace fuchsiagw::net
