/// @file
/// @brief Routes of the admin port and the sum of the duties' metrics.

#include <utility>

#include <fuchsiagw/daemon/admin.hpp>

#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/daemon/metrics_text.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <algorithm>
#include <array>

namespace fuchsiagw::daemon {

namespace {

constexpr std::size_t maxBody = 4 * 1024 * 1024; // bytes; a first release note names everything
constexpr std::size_t maxConnections = 256; // operators and collectors of metrics
constexpr core::duration sampleEvery = std::chrono::seconds(1);
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
    options.maxBody = maxBody;
    options.maxConnections = maxConnections;
    return options;
}

} // namespace

std::optional<wire::admin_answer> refuseAdmin(const net::http_request &request,
                                              std::string_view secretHash, admin_request &into)
{
    if (!wire::isOperator(net::findHeader(request.headers, "Authorization"), secretHash))
        return wire::answerError(core::error_kind::OperatorDenied);
    wire::admin_match match = wire::matchAdminRoute(request.method, request.target);
    if (match.error)
        return wire::answerError(*match.error);
    into.route = match.route;
    into.argument = std::move(match.argument);
    into.body = request.body;
    return std::nullopt;
}

admin::admin(boost::asio::io_context &context, const settings &values, const log_sink &log,
             admin_inputs inputs)
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

std::error_code admin::start()
{
    const std::error_code error = server_.start();
    if (!error)
        tick();
    return error;
}

void admin::tick()
{
    inputs_.sample();
    const metrics all = collect();
    const std::uint64_t bytes =
            all.value(counter::ControlBytesSent) + all.value(counter::ControlBytesReceived);
    controlBytesPerSecond_ = controlRate_.sample(bytes, net::currentTime());
    timer_.expires_after(sampleEvery);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

metrics admin::collect()
{
    metrics all;
    for (snapshot_buffer<metrics> *each : inputs_.sources)
        merge(all, each->newest());
    all.count(counter::LogLinesLost, log_.lost());
    all.set(gauge::Ready, inputs_.isReady() ? 1 : 0);
    all.set(gauge::ControlBytesPerSecond, controlBytesPerSecond_);
    return all;
}

bool admin::answerOpenRoute(const net::http_request &request, net::http_responder &reply)
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
        const bool ready = inputs_.isReady();
        reply.send({ ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n" });
    } else {
        reply.send(textResponse(200, "application/json", std::string(versionBody)));
    }
    return true;
}

void admin::onRequest(net::http_request &&request, net::http_responder &&reply)
{
    if (answerOpenRoute(request, reply))
        return;
    admin_request asked;
    if (auto refusal = refuseAdmin(request, settings_.operatorSecretHash, asked)) {
        reply.send(jsonResponse(std::move(*refusal)));
        return;
    }
    asked.ticket = nextTicket_++;
    const std::uint64_t ticket = asked.ticket;
    // The bound on open requests keeps the ring of the answers from filling up.
    if (open_.size() >= maxAdminRequests || !inputs_.request(std::move(asked))) {
        reply.send(jsonResponse(wire::answerError(core::error_kind::Overloaded)));
        return;
    }
    open_.emplace(ticket, std::move(reply));
}

void admin::onAnswer(admin_result &result)
{
    const auto entry = open_.find(result.ticket);
    if (entry == open_.end())
        return;
    entry->second.send(jsonResponse(std::move(result.answer)));
    open_.erase(entry);
}

} // namespace fuchsiagw::daemon
