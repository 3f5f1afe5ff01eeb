/// @file
/// @brief Routes of the admin port and the sum of the threads' metrics.

#include <utility>

#include <fuchsiagw/daemon/admin_server.hpp>

#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/daemon/metrics_text.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <algorithm>
#include <array>

namespace fuchsiagw::daemon {

namespace {

constexpr std::size_t maxRequestBodyBytes =
        4 * 1024 * 1024; // a first release note contains the whole configuration
constexpr std::size_t maxConnections = 256; // of operators and metrics collectors
constexpr core::duration sampleInterval = std::chrono::seconds(1);
constexpr std::array<std::string_view, 4> openRoutes{ "/metrics", "/healthz", "/readyz",
                                                      "/version" };
constexpr std::string_view versionBody = R"({"name":"fuchsiagw","version":"0.1.0"})";

net::http_response textResponse(int status, std::string_view contentType, std::string body)
{
    return { status, { { "Content-Type", std::string(contentType) } }, std::move(body) };
}

net::http_response jsonResponse(wire::admin_answer &&answer)
{
    return textResponse(answer.status, "application/json", std::move(answer.body));
}

net::http_server_options serverOptions(const settings &values)
{
    net::http_server_options options;
    options.listenAddress = values.adminAddress;
    options.maxBodyBytes = maxRequestBodyBytes;
    options.maxConnections = maxConnections;
    return options;
}

} // namespace

std::optional<wire::admin_answer> checkAdminRequest(const net::http_request &request,
                                                    std::string_view secretHash,
                                                    admin_request &into)
{
    if (!wire::isOperatorAuthorized(net::findHeader(request.headers, "Authorization"), secretHash))
        return wire::answerError(core::error_kind::OperatorDenied);
    wire::admin_route_match match = wire::matchAdminRoute(request.method, request.target);
    if (match.error)
        return wire::answerError(*match.error);
    into.route = match.route;
    into.argument = std::move(match.argument);
    into.body = request.body;
    return std::nullopt;
}

admin_server::admin_server(boost::asio::io_context &context, const settings &values,
                           const log_sink &log, admin_server_inputs inputs)
    : settings_(values)
    , log_(log)
    , inputs_(std::move(inputs))
    , server_(context, serverOptions(values),
              [this](net::http_request &&request, net::connection_number,
                     net::http_responder &&reply) {
                  onRequest(std::move(request), std::move(reply));
              })
    , timer_(context)
{ }

std::error_code admin_server::start()
{
    const std::error_code error = server_.start();
    if (!error)
        tick();
    return error;
}

void admin_server::tick()
{
    inputs_.sample();
    const metrics totals = collect();
    const std::uint64_t bytes =
            totals.value(counter::ControlBytesSent) + totals.value(counter::ControlBytesReceived);
    controlBytesPerSecond_ = controlRate_.sample(bytes, net::currentTime());
    timer_.expires_after(sampleInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

metrics admin_server::collect()
{
    metrics totals;
    for (snapshot_buffer<metrics> *each : inputs_.sources)
        merge(totals, each->newest());
    totals.count(counter::LogLinesLost, log_.lost());
    totals.set(gauge::Ready, inputs_.isReady() ? 1 : 0);
    totals.set(gauge::ControlBytesPerSecond, controlBytesPerSecond_);
    return totals;
}

bool admin_server::answerOpenRoute(const net::http_request &request, net::http_responder &reply)
{
    const std::string_view path =
            std::string_view(request.target).substr(0, request.target.find('?'));
    if (std::find(openRoutes.begin(), openRoutes.end(), path) == openRoutes.end())
        return false;
    if (request.method != "GET") {
        reply.send(jsonResponse(wire::answerError(core::error_kind::MethodNotAllowed)));
    } else if (path == "/metrics") {
        reply.send(textResponse(200, metricsContentType, metricsText(collect())));
    } else if (path == "/healthz") {
        reply.send({ 200, {}, "ok\n" });
    } else if (path == "/readyz") {
        const bool isReady = inputs_.isReady();
        reply.send({ isReady ? 200 : 503, {}, isReady ? "ready\n" : "not ready\n" });
    } else {
        reply.send(textResponse(200, "application/json", std::string(versionBody)));
    }
    return true;
}

void admin_server::onRequest(net::http_request &&request, net::http_responder &&reply)
{
    if (answerOpenRoute(request, reply))
        return;
    admin_request adminRequest;
    if (auto refusal = checkAdminRequest(request, settings_.operatorSecretHash, adminRequest)) {
        reply.send(jsonResponse(std::move(*refusal)));
        return;
    }
    adminRequest.ticket = nextTicket_++;
    const std::uint64_t ticket = adminRequest.ticket;
    // The limit of open requests prevents an overflow of the answer queue.
    if (openRequests_.size() >= maxAdminRequests || !inputs_.request(std::move(adminRequest))) {
        reply.send(jsonResponse(wire::answerError(core::error_kind::Overloaded)));
        return;
    }
    openRequests_.emplace(ticket, std::move(reply));
}

void admin_server::onAnswer(admin_result &result)
{
    const auto entry = openRequests_.find(result.ticket);
    if (entry == openRequests_.end())
        return;
    entry->second.send(jsonResponse(std::move(result.answer)));
    openRequests_.erase(entry);
}

} // namespace fuchsiagw::daemon
