/// @file
/// @brief Calls to the platform's store.

#include <fuchsiagw/ctl/store_call.hpp>

#include <fuchsiagw/ctl/commands.hpp>
#include <fuchsiagw/ctl/flags.hpp>
#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/net/http_client.hpp>

#include <absl/flags/flag.h>

#include <ostream>

namespace fuchsiagw::ctl {

namespace {

constexpr std::chrono::milliseconds callTimeout{ 3'000 };

net::http_exchange callAddress(const std::string &address, const net::http_request &request)
{
    net::endpoint peer;
    if (const std::error_code failed = net::parseEndpoint(address, peer)) {
        net::http_exchange result;
        result.error = failed;
        return result;
    }
    return net::callAndWait(peer, request, net::currentTime() + callTimeout);
}

} // namespace

net::http_exchange callStore(const command_context &context, const net::http_request &request)
{
    const std::string address = absl::GetFlag(FLAGS_store);
    return context.store ? context.store(address, request) : callAddress(address, request);
}

exit_code reportError(const command_context &context, exit_code code, const std::string &text)
{
    context.err << text << '\n';
    return code;
}

} // namespace fuchsiagw::ctl
