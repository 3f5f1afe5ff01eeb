/// @file
/// @brief Encoding and validation of the datagrams between the daemons of the session interface.

#pragma once

#include <fuchsiagw/proxy/peer_message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace fuchsiagw::daemon {

[[nodiscard]] std::string encodeDatagram(const proxy::peer_message &message);

/// @return none unless the bytes are exactly one message whose numbers and names are within their
/// bounds
/// @complexity linear in the size of @p bytes, in time and memory
[[nodiscard]] std::optional<proxy::peer_message> decodeDatagram(std::string_view bytes);

} // namespace fuchsiagw::daemon
