/// @file
/// @brief Client of a daemon's admin API.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/ctl/exit_code.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace fuchsiagw::ctl {

/// Response to one request.
struct admin_reply
{
    bool wasSent = false; ///< false only if no byte can have reached a daemon
    int status = 0; ///< HTTP status; 0: no response
    std::string body;
};

/// Sends one request; replaced in tests.
/// @param address admin address, IP:port
/// @param target path
/// @param body empty for GET
using admin_transport =
        std::function<admin_reply(const std::string &address, const std::string &method,
                                  const std::string &target, const std::string &body)>;

/// @return an HTTP transport that authenticates with the operators' secret
[[nodiscard]] admin_transport httpTransport(std::string secret);

/// The validated response of a daemon. Invariant: `code` is Done exactly if `json` holds a response
/// with status 200.
struct admin_result
{
    exit_code code = exit_code::Unreachable;
    nlohmann::json json;
    std::string text; ///< the unparsed body
    std::string problem; ///< message for the operator, with the next step
    std::string error; ///< name of the error, such as note_conflict
};

/// @brief Sends one request and validates the response.
/// @param isChange whether the request may change state, so that a lost response leaves its outcome
/// unknown
[[nodiscard]] admin_result callAdmin(const admin_transport &transport, const std::string &address,
                                     const std::string &method, const std::string &target,
                                     const std::string &body, bool isChange);

/// @brief Fetches the newest configuration known to a daemon.
[[nodiscard]] admin_result fetchConfiguration(const admin_transport &transport,
                                              const std::string &address,
                                              core::configuration &config);

} // namespace fuchsiagw::ctl
