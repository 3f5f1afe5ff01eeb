/// @file
/// @brief Requests to the platform's table service, object store and instance list.

#pragma once

#include <fuchsiagw/core/platform_protocol.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/net/http_client.hpp>

#include <functional>
#include <string>
#include <variant>

namespace fuchsiagw::platform {

struct read_row
{
    std::string key;
};

struct scan_rows
{
    std::string prefix;
};

struct put_object
{
    std::string name;
    std::string body;
};

struct get_object
{
    std::string name;
};

struct list_instances
{ };

using platform_operation = std::variant<read_row, scan_rows, core::transact_request, put_object,
                                        get_object, list_instances>;

/// Result of an operation. Invariant: unless isAnswered, it is unknown whether the operation took
/// effect.
struct platform_result
{
    bool isAnswered = false; ///< a complete and valid answer was received
    bool isFound = false; ///< the row or object exists; the object was stored
    core::table_row row;
    core::scan_answer scan;
    core::transact_answer transaction;
    core::instance_list instances;
    std::string object;
};

using platform_handler = std::function<void(platform_result &&)>;

/// @brief Sends one request and calls @p done exactly once, at the deadline at the latest.
/// @complexity linear in the size of the request
void request(net::http_client &client, const net::endpoint &platform,
             const platform_operation &operation, core::time_point deadline, platform_handler done);

/// @return the HTTP request of an operation
[[nodiscard]] net::http_request toHttp(const platform_operation &operation);

/// @brief Reads the answer to an operation; an unexpected one is treated as no answer.
[[nodiscard]] platform_result readResult(const platform_operation &operation,
                                         net::http_exchange &&exchange);

} // namespace fuchsiagw::platform
