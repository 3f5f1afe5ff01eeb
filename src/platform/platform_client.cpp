/// @file
/// @brief HTTP form of the requests to the platform.

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
    net::http_request operator()(const read_row &order) const
    {
        return { "GET", wire::tableTarget(order.key), {}, {} };
    }
    net::http_request operator()(const scan_rows &order) const
    {
        return { "GET", wire::scanTarget(order.prefix), {}, {} };
    }
    net::http_request operator()(const core::transact_request &order) const
    {
        return {
            "POST", "/transact", { { "Content-Type", "application/json" } }, wire::toJson(order)
        };
    }
    net::http_request operator()(const put_object &order) const
    {
        return { "PUT", wire::objectTarget(order.name), {}, order.body };
    }
    net::http_request operator()(const get_object &order) const
    {
        return { "GET", wire::objectTarget(order.name), {}, {} };
    }
    net::http_request operator()(const list_instances & /*order*/) const
    {
        return { "GET", "/instances", {}, {} };
    }
};

/// Reads a successful body into the field of the result that belongs to the order.
struct body_reader
{
    std::string &body;
    platform_result &result;

    std::error_code operator()(const read_row & /*order*/) const
    {
        return wire::fromJson(body, result.row);
    }
    std::error_code operator()(const scan_rows & /*order*/) const
    {
        return wire::fromJson(body, result.scan);
    }
    std::error_code operator()(const core::transact_request & /*order*/) const
    {
        return wire::fromJson(body, result.transaction);
    }
    std::error_code operator()(const put_object & /*order*/) const { return {}; }
    std::error_code operator()(const get_object & /*order*/) const
    {
        result.object = std::move(body);
        return {};
    }
    std::error_code operator()(const list_instances & /*order*/) const
    {
        return wire::fromJson(body, result.instances);
    }
};

bool mayBeMissing(const platform_operation &order)
{
    return std::holds_alternative<read_row>(order) || std::holds_alternative<get_object>(order);
}

} // namespace

net::http_request toHttp(const platform_operation &order)
{
    return std::visit(http_request_builder{}, order);
}

platform_result readResult(const platform_operation &order, net::http_exchange &&exchange)
{
    platform_result result;
    if (exchange.error)
        return result;
    net::http_response &response = exchange.response;
    if (response.status == statusNotFound && mayBeMissing(order)) {
        result.isAnswered = true;
        return result;
    }
    if (!isSuccess(response.status))
        return result;
    result.isAnswered = !std::visit(body_reader{ response.body, result }, order);
    result.isFound = result.isAnswered;
    return result;
}

void request(net::http_client &client, const net::endpoint &platform,
             const platform_operation &order, core::time_point deadline, platform_handler done)
{
    client.call(platform, toHttp(order), deadline,
                [order, done = std::move(done)](net::http_exchange &&exchange) {
                    done(readResult(order, std::move(exchange)));
                });
}

} // namespace fuchsiagw::platform
