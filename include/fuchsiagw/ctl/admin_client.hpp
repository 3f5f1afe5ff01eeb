/// @file
/// @brief Calls the admin port of a daemon.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/ctl/exit_code.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace fuchsiagw::ctl {

/// What came of one request.
struct admin_reply
{
    bool wasSent = false; ///< false only if no byte can have reached a daemon
    int status = 0; ///< 0: no answer
    std::string body;
};

/// Sends one request; tests put a function of their own here.
/// @param address admin address, IP:port
/// @param target path
/// @param body empty for GET
using admin_transport =
        std::function<admin_reply(const std::string &address, const std::string &method,
                                  const std::string &target, const std::string &body)>;

/// @return a transport over HTTP with the operators' secret
[[nodiscard]] admin_transport httpTransport(std::string secret);

/// The daemon's answer after checks. Invariant: `code` is Done exactly if `json` is an answer with
/// status 200.
struct admin_result
{
    exit_code code = exit_code::Unreachable;
    nlohmann::json json;
    std::string text; ///< the body as it came
    std::string problem; ///< for people, with the next step
    std::string error; ///< name of the error, such as note_conflict
};

/// @brief Sends one request and judges the answer.
/// @param isChange whether the request may change something, so that a lost answer leaves it open
[[nodiscard]] admin_result callAdmin(const admin_transport &transport, const std::string &address,
                                     const std::string &method, const std::string &target,
                                     const std::string &body, bool isChange);

/// @brief Fetches the newest configuration that a daemon holds.
[[nodiscard]] admin_result fetchConfiguration(const admin_transport &transport,
                                              const std::string &address,
                                              core::configuration &config);

} // namespace fuchsiagw::ctl
