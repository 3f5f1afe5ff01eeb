/// @file
/// @brief Sizes of the loan messages.

#include <fuchsiagw/core/loan_message.hpp>

namespace fuchsiagw::core {

namespace {

/// Size of a datagram's envelope: version, sender, sequence, kind and MAC.
constexpr std::int64_t envelopeBytes = 64;

/// Sizes of one entry without the resource's name.
constexpr std::int64_t requestItemBytes = 18;
constexpr std::int64_t termsBytes = 62;
constexpr std::int64_t returnBytes = 41;

} // namespace

std::int64_t sizeOf(const loan_message &message)
{
    std::int64_t bytes = envelopeBytes;
    const auto count = [&bytes](const auto &entries, std::int64_t each) {
        for (const auto &entry : entries)
            bytes += each + static_cast<std::int64_t>(entry.resource.name.size());
    };
    if (const auto *request = std::get_if<loan_request>(&message.body))
        count(request->items, requestItemBytes);
    else if (const auto *grant = std::get_if<loan_grant>(&message.body))
        count(grant->loans, termsBytes);
    else if (const auto *returns = std::get_if<loan_returns>(&message.body))
        count(returns->loans, returnBytes);
    return bytes;
}

std::int64_t sizeOfTerms(const resource_id &resource)
{
    return termsBytes + static_cast<std::int64_t>(resource.name.size());
}

} // namespace fuchsiagw::core
