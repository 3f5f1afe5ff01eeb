/// @file
/// @brief HTTP requests to the platform and parsing of its answers.

#include <utility>

#include <fuchsiagw/platform/platform_client.hpp>

#include <fuchsiagw/wire/platform_json.hpp>

namespace fuchsiagw::platform {

namespace {

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNoContent = 204;
constexpr int statusNotFound = 404;

bool isSuccess(int status)
{
    return status == statusOk || status == statusCreated || status == statusNoContent;
}

struct http_request_builder
{
    net::http_request operator()(const read_row &operation) const
    {
        return { "GET", wire::tableTarget(operation.key), {}, {} };
    }
    net::http_request operator()(const scan_rows &operation) const
    {
        return { "GET", wire::scanTarget(operation.prefix), {}, {} };
    }
    net::http_request operator()(const core::transact_request &operation) const
    {
        return {
            "POST", "/transact", { { "Content-Type", "application/json" } }, wire::toJson(operation)
        };
    }
    net::http_request operator()(const put_object &operation) const
    {
        return { "PUT", wire::objectTarget(operation.name), {}, operation.body };
    }
    net::http_request operator()(const get_object &operation) const
    {
        return { "GET", wire::objectTarget(operation.name), {}, {} };
    }
    net::http_request operator()(const list_instances & /*operation*/) const
    {
        return { "GET", "/instances", {}, {} };
    }
};

/// Parses the body of a successful answer into the result's field of the operation.
struct body_reader
{
    std::string &body;
    platform_result &result;

    std::error_code operator()(const read_row & /*operation*/) const
    {
        return wire::fromJson(body, result.row);
    }
    std::error_code operator()(const scan_rows & /*operation*/) const
    {
        return wire::fromJson(body, result.scan);
    }
    std::error_code operator()(const core::transact_request & /*operation*/) const
    {
        return wire::fromJson(body, result.transaction);
    }
    std::error_code operator()(const put_object & /*operation*/) const { return {}; }
    std::error_code operator()(const get_object & /*operation*/) const
    {
        result.object = std::move(body);
        return {};
    }
    std::error_code operator()(const list_instances & /*operation*/) const
    {
        return wire::fromJson(body, result.instances);
    }
};

bool mayBeMissing(const platform_operation &operation)
{
    return std::holds_alternative<read_row>(operation)
           || std::holds_alternative<get_object>(operation);
}

} // namespace

net::http_request toHttp(const platform_operation &operation)
{
    return std::visit(http_request_builder{}, operation);
}

platform_result readResult(const platform_operation &operation, net::http_exchange &&exchange)
{
    platform_result result;
    if (exchange.error)
        return result;
    net::http_response &response = exchange.response;
    if (response.status == statusNotFound && mayBeMissing(operation)) {
        result.isAnswered = true;
        return result;
    }
    if (!isSuccess(response.status))
        return result;
    result.isAnswered = !std::visit(body_reader{ response.body, result }, operation);
    result.isFound = result.isAnswered;
    return result;
}

void request(net::http_client &client, const net::endpoint &platform,
             const platform_operation &operation, core::time_point deadline, platform_handler done)
{
    client.call(platform, toHttp(operation), deadline,
                [operation, done = std::move(done)](net::http_exchange &&exchange) {
                    done(readResult(operation, std::move(exchange)));
                });
}

} // namespace fuchsiagw::platform
