/// @file
/// @brief Requests to the admin API and interpretation of the responses.

#include <utility>

#include <fuchsiagw/ctl/admin_client.hpp>

#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/net/http_client.hpp>
#include <fuchsiagw/wire/configuration_json.hpp>

namespace fuchsiagw::ctl {

namespace {

/// Exceeds the 10 s that the daemon may take to submit a note.
constexpr auto requestTimeout = std::chrono::seconds(12);

std::string nextStepFor(const std::string &error)
{
    static const std::vector<std::pair<std::string_view, std::string_view>> advice{
        { "operator_denied", "check --secret_file or FUCHSIAGW_OPERATOR_SECRET" },
        { "note_conflict",
          "see 'fuchsiagwctl note diff', set the note's base to the newest version "
          "and submit it under a new id" },
        { "note_not_exact", "copy the exact list from the field 'actual' of --json" },
        { "note_outcome_unknown", "ask with 'fuchsiagwctl note status', or submit the same note "
                                  "again; it is applied once" },
        { "platform_unavailable", "nothing was changed; try again later" },
        { "not_ready", "the instance has no configuration yet; use another --address" },
        { "draining", "use another --address" },
    };
    for (const auto &[name, text] : advice) {
        if (name == error)
            return "\nnext: " + std::string(text);
    }
    return {};
}

} // namespace

admin_transport httpTransport(std::string secret)
{
    return [secret = std::move(secret)](const std::string &address, const std::string &method,
                                        const std::string &target, const std::string &body) {
        admin_reply reply;
        net::endpoint peer;
        if (net::parseEndpoint(address, peer))
            return reply;
        net::http_request request{ method, target, {}, body };
        request.headers.emplace_back("Authorization", "Bearer " + secret);
        if (!body.empty())
            request.headers.emplace_back("Content-Type", "application/json");
        net::http_exchange exchange =
                net::callAndWait(peer, request, net::currentTime() + requestTimeout);
        reply.wasSent = exchange.wasSent;
        if (!exchange.error) {
            reply.status = exchange.response.status;
            reply.body = std::move(exchange.response.body);
        }
        return reply;
    };
}

admin_result callAdmin(const admin_transport &transport, const std::string &address,
                       const std::string &method, const std::string &target,
                       const std::string &body, bool isChange)
{
    admin_result result;
    admin_reply reply = transport(address, method, target, body);
    if (reply.status == 0) {
        const bool isOutcomeUnknown = isChange && reply.wasSent;
        result.code = isOutcomeUnknown ? exit_code::Unknown : exit_code::Unreachable;
        result.problem = isOutcomeUnknown
                                 ? "the daemon at " + address
                                           + " did not answer; the change may have been made"
                                 : "no daemon answers at " + address
                                           + "\nnext: check the address or use --address of "
                                             "another instance";
        return result;
    }
    result.text = std::move(reply.body);
    result.json = nlohmann::json::parse(result.text, nullptr, false);
    if (!result.json.is_object()) {
        result.code = isChange ? exit_code::Unknown : exit_code::Unreachable;
        result.problem = "the server at " + address + " is no admin port of fuchsiagwd";
        return result;
    }
    if (reply.status == 200) {
        result.code = exit_code::Done;
        return result;
    }
    result.error = result.json.value("error", "internal");
    const bool isUnknown = isChange && result.json.value("outcome", "unknown") == "unknown";
    result.code = isUnknown ? exit_code::Unknown : exit_code::Refused;
    result.problem =
            result.error + ": " + result.json.value("problem", "") + nextStepFor(result.error);
    return result;
}

admin_result fetchConfiguration(const admin_transport &transport, const std::string &address,
                                core::configuration &config)
{
    admin_result result =
            callAdmin(transport, address, "GET", "/v1/admin/configuration", {}, false);
    std::string problem;
    if (result.code == exit_code::Done && wire::readConfiguration(result.text, config, problem)) {
        result.code = exit_code::Refused;
        result.problem = "the daemon's configuration can't be read: " + problem
                         + "\nnext: use a fuchsiagwctl of the daemon's version";
    }
    return result;
}

} // namespace fuchsiagw::ctl
