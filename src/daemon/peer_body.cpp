/// @file
/// @brief Message kinds, validation and decoding of datagram bodies.

#include <fuchsiagw/daemon/peer_body.hpp>

#include <algorithm>
#include <array>

namespace fuchsiagw::core {

bool isValid(const loan_request &value)
{
    return std::all_of(value.items.begin(), value.items.end(), [](const loan_request_item &each) {
        return isValid(each.resource) && each.shares >= 0;
    });
}

bool isValid(const loan_grant &value)
{
    return std::all_of(value.loans.begin(), value.loans.end(), [](const loan_terms &each) {
        return isValid(each.resource) && each.shares >= 0 && each.tokens >= 0
               && each.remainingMicros >= 0;
    });
}

bool isValid(const loan_returns &value)
{
    return std::all_of(value.loans.begin(), value.loans.end(), [](const loan_return &each) {
        return isValid(each.resource) && each.tokens >= 0;
    });
}

} // namespace fuchsiagw::core

namespace fuchsiagw::daemon {

namespace {

using wire::peer_kind;

/// Kind of each alternative of peer_body, in the order of the variant.
constexpr std::array<peer_kind, std::variant_size_v<peer_body>> kinds{
    peer_kind::Digest,       peer_kind::Probe,       peer_kind::GroupView,  peer_kind::LeaseRequest,
    peer_kind::LeasePromise, peer_kind::VoteRequest, peer_kind::ExpiryVote, peer_kind::LoanRequest,
    peer_kind::LoanGrant,    peer_kind::LoanReturns,
};

template <std::size_t index = 0>
std::optional<peer_body> readAlternative(std::size_t wantedIndex, std::string_view bytes)
{
    if constexpr (index < std::variant_size_v<peer_body>) {
        if (wantedIndex != index)
            return readAlternative<index + 1>(wantedIndex, bytes);
        std::variant_alternative_t<index, peer_body> value;
        if (wire::readBody(bytes, value))
            return std::nullopt;
        return peer_body(std::move(value));
    }
    return std::nullopt;
}

} // namespace

wire::peer_kind kindOf(const peer_body &body)
{
    return kinds.at(body.index());
}

std::optional<peer_body> readPeerBody(wire::peer_kind kind, std::string_view bytes)
{
    const auto *const found = std::find(kinds.begin(), kinds.end(), kind);
    return readAlternative(static_cast<std::size_t>(std::distance(kinds.begin(), found)), bytes);
}

} // namespace fuchsiagw::daemon
