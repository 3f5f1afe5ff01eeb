/// @file
/// @brief Encoding and validation of the datagrams between the daemons of the session interface.

#include <fuchsiagw/daemon/session_datagram.hpp>

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/wire/peer_codec.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

namespace fuchsiagw::proxy {

namespace {

constexpr std::size_t maxNameBytes = 256;
/// Bounds the times of other daemons, so that sums and differences of times can't overflow.
constexpr std::int64_t maxClockUs = std::numeric_limits<std::int64_t>::max() / 8;
/// Bounds token amounts, so that sums over all daemons can't overflow.
constexpr std::int64_t maxAmount = std::numeric_limits<std::int64_t>::max() / 65'536;

bool isName(const std::string &text)
{
    return text.size() <= maxNameBytes;
}

} // namespace

// Called by wire::readBody(), which finds these functions by the argument's namespace.
bool isValid(const leader_report &report)
{
    return isName(report.service) && isName(report.member) && report.ageUs >= -1
           && report.ageUs <= maxClockUs;
}

bool isValid(const part_grant &grant)
{
    return isName(grant.workspace) && grant.part >= 0 && grant.part <= wholeLimit
           && grant.tokens >= -maxAmount && grant.tokens <= maxAmount;
}

bool isValid(const member_load &load)
{
    return load.state <= load_state::Slow && load.waitUs >= 0 && load.waitUs <= maxClockUs
           && load.answerUs >= 0 && load.answerUs <= maxClockUs;
}

bool isValid(const peer_message &message)
{
    const auto valid = [](const auto &each) { return isValid(each); };
    return message.kind <= peer_message_kind::NewestCommitAnswer && isName(message.from)
           && isName(message.subject) && isName(message.member) && message.askedAtUs >= 0
           && message.askedAtUs <= maxClockUs && message.amount >= -maxAmount
           && message.amount <= maxAmount && message.manifestAgeUs >= -1
           && message.manifestAgeUs <= maxClockUs
           && std::all_of(message.workspaces.begin(), message.workspaces.end(), isName)
           && std::all_of(message.evacuatedZones.begin(), message.evacuatedZones.end(), isName)
           && isValid(message.load)
           && std::all_of(message.leaders.begin(), message.leaders.end(), valid)
           && std::all_of(message.parts.begin(), message.parts.end(), valid);
}

} // namespace fuchsiagw::proxy

namespace fuchsiagw::daemon {

std::string encodeDatagram(const proxy::peer_message &message)
{
    return wire::writeBody(message);
}

std::optional<proxy::peer_message> decodeDatagram(std::string_view bytes)
{
    proxy::peer_message message;
    if (wire::readBody(bytes, message))
        return std::nullopt;
    return message;
}

} // namespace fuchsiagw::daemon
