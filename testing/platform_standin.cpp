/// @file
/// @brief Routes and faults of the platform stand-in.

#include <utility>

#include <fuchsiagw/testing/platform_standin.hpp>

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/wire/platform_json.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace fuchsiagw::testing {

namespace {

using core::error_kind;

constexpr std::string_view tableRoute = "/table/";
constexpr std::string_view scanRoute = "/scan?prefix=";
constexpr std::string_view objectRoute = "/object/";
constexpr std::string_view instanceRoute = "/instances/";

bool isWrite(const net::http_request &request)
{
    return request.target == "/transact"
           || (request.method == "PUT" && request.target.starts_with(objectRoute));
}

net::http_response notFound()
{
    return jsonResponse(404, R"({"problem":"not_found"})");
}

} // namespace

platform_standin::platform_standin(boost::asio::io_context &context, std::uint16_t port,
                                   std::uint16_t faultPort)
    : context_(context)
    , server_(context, port,
              [this](net::http_request &&request, connection_number connection) {
                  onRequest(std::move(request), connection);
              },
              {})
    , faultServer_(context, faultPort,
                   [this](net::http_request &&request, connection_number connection) {
                       onFaultRequest(request, connection);
                   },
                   {})
{ }

std::error_code platform_standin::start()
{
    if (const auto error = server_.start())
        return error;
    return faultServer_.start();
}

std::error_code platform_standin::setFault(const platform_fault_request &request)
{
    const bool needsValue =
            request.kind == platform_fault::Slow || request.kind == platform_fault::ListLag;
    if (request.on && needsValue && !request.value.has_value())
        return error_kind::InvalidValue;
    if (request.kind == platform_fault::Leaving) {
        if (!request.instance.has_value())
            return error_kind::InvalidValue;
        auto entry = newestEntry(model_, *request.instance);
        if (!entry.has_value())
            return error_kind::InvalidValue;
        entry->state = request.on ? core::instance_state::Leaving : core::instance_state::Live;
        setInstance(*entry);
        return {};
    }
    fault(request.kind) = { request.on, request.value };
    if (request.kind != platform_fault::Down)
        return {};
    if (!request.on)
        return server_.start();
    server_.stop();
    return {};
}

void platform_standin::setInstance(const core::instance_entry &entry)
{
    testing::setInstance(model_, entry.instance, entry, net::currentTime(),
                         delayOf(fault(platform_fault::ListLag)));
}

void platform_standin::onRequest(net::http_request &&request, connection_number connection)
{
    const core::duration delay = delayOf(fault(platform_fault::Slow)) / 2;
    runAfter(delay, [this, request = std::move(request), connection, delay] {
        handle(request, connection, delay);
    });
}

void platform_standin::onFaultRequest(const net::http_request &request,
                                      connection_number connection)
{
    if (request.target != "/fault") {
        const bool isShared =
                request.target == "/counters" || request.target.starts_with(instanceRoute);
        faultServer_.answer(connection,
                            isShared ? respond(request) : errorResponse(error_kind::UnknownRoute));
        return;
    }
    platform_fault_request parsed;
    std::error_code error = error_kind::MethodNotAllowed;
    if (request.method == "POST")
        error = fromJson(request.body, parsed);
    if (!error)
        error = setFault(parsed);
    faultServer_.answer(connection, error ? errorResponse(error) : jsonResponse(200, "{}"));
}

void platform_standin::handle(const net::http_request &request, connection_number connection,
                              core::duration delay)
{
    // A request that the fault Slow still delays when the platform goes down is not applied.
    if (fault(platform_fault::Down).on)
        return;
    const net::http_response response = respond(request);
    if (isWrite(request) && consume(fault(platform_fault::LoseAnswer)))
        return;
    runAfter(delay, [this, response, connection] { server_.answer(connection, response); });
}

net::http_response platform_standin::respond(const net::http_request &request)
{
    const std::string_view target = request.target;
    if (target.starts_with(tableRoute))
        return respondTable(request);
    if (target.starts_with(scanRoute))
        return respondScan(request);
    if (target == "/transact")
        return respondTransact(request);
    if (target.starts_with(objectRoute))
        return respondObject(request);
    if (target == "/instances" || target.starts_with(instanceRoute))
        return respondInstances(request);
    if (target == "/counters" && request.method == "GET")
        return jsonResponse(200, toJson(counters_));
    return errorResponse(error_kind::UnknownRoute);
}

net::http_response platform_standin::respondTable(const net::http_request &request)
{
    std::string key;
    if (request.method != "GET")
        return errorResponse(error_kind::MethodNotAllowed);
    if (const auto error = wire::nameFromTarget(request.target, tableRoute, key))
        return errorResponse(error);
    ++counters_.reads;
    const core::table_row *row = findRow(model_, key);
    return row == nullptr ? notFound() : jsonResponse(200, wire::toJson(*row));
}

net::http_response platform_standin::respondScan(const net::http_request &request)
{
    std::string prefix;
    if (request.method != "GET")
        return errorResponse(error_kind::MethodNotAllowed);
    if (const auto error = wire::nameFromTarget(request.target, scanRoute, prefix))
        return errorResponse(error);
    ++counters_.reads;
    return jsonResponse(200, wire::toJson(scan(model_, prefix)));
}

net::http_response platform_standin::respondTransact(const net::http_request &request)
{
    core::transact_request parsed;
    if (request.method != "POST")
        return errorResponse(error_kind::MethodNotAllowed);
    if (const auto error = wire::fromJson(request.body, parsed))
        return errorResponse(error);
    ++counters_.writes;
    const auto answer = transact(model_, parsed, net::currentTime());
    return answer.has_value() ? jsonResponse(200, wire::toJson(*answer))
                              : errorResponse(error_kind::InvalidValue);
}

net::http_response platform_standin::respondObject(const net::http_request &request)
{
    std::string name;
    if (const auto error = wire::nameFromTarget(request.target, objectRoute, name))
        return errorResponse(error);
    if (request.method == "PUT") {
        ++counters_.writes;
        return putObject(model_, name, request.body)
                       ? jsonResponse(200, "{}")
                       : jsonResponse(409, R"({"problem":"object_exists"})");
    }
    if (request.method != "GET")
        return errorResponse(error_kind::MethodNotAllowed);
    ++counters_.reads;
    const auto found = model_.objects.find(name);
    if (found == model_.objects.end())
        return notFound();
    return { 200, { { "Content-Type", "application/octet-stream" } }, found->second };
}

net::http_response platform_standin::respondInstances(const net::http_request &request)
{
    if (request.target == "/instances") {
        if (request.method != "GET")
            return errorResponse(error_kind::MethodNotAllowed);
        ++counters_.reads;
        return jsonResponse(200, wire::toJson(listInstances(model_, net::currentTime())));
    }
    core::instance_id instance;
    if (const auto error = wire::nameFromTarget(request.target, instanceRoute, instance.value))
        return errorResponse(error);
    if (request.method == "DELETE") {
        testing::setInstance(model_, instance, std::nullopt, net::currentTime(),
                             delayOf(fault(platform_fault::ListLag)));
        return jsonResponse(200, "{}");
    }
    if (request.method != "PUT")
        return errorResponse(error_kind::MethodNotAllowed);
    core::instance_entry entry;
    if (const auto error = wire::fromJson(request.body, entry))
        return errorResponse(error);
    if (entry.instance != instance)
        return errorResponse(error_kind::InvalidValue);
    setInstance(entry);
    return jsonResponse(200, "{}");
}

void platform_standin::runAfter(core::duration delay, std::function<void()> action)
{
    if (delay <= core::duration::zero()) {
        action();
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &error) {
        if (!error)
            action();
    });
}

} // namespace fuchsiagw::testing
