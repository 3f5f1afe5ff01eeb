/// @file
/// @brief Messages that instances exchange about loans of shares.

#pragma once

#include <fuchsiagw/core/share_ledger.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace fuchsiagw::core {

struct loan_request_item
{
    resource_id resource;
    loan_kind kind = loan_kind::Rate;
    share_count shares = 0; ///< in addition to current loans; 0 only renews them

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(resource, kind, shares);
    }
};

struct loan_request
{
    incarnation_id borrower = 0;
    std::uint64_t number = 0; ///< increases with each request of the borrower
    std::int64_t sentAt = 0; ///< by the borrower's clock; the lender only echoes it
    std::vector<loan_request_item> items;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(borrower, number, sentAt, items);
    }
};

struct loan_grant
{
    incarnation_id borrower = 0;
    std::int64_t sentAt = 0; ///< echoed from the request
    std::vector<loan_terms> loans;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(borrower, sentAt, loans);
    }
};

/// Loans that a borrower returns to one lender before they end.
struct loan_returns
{
    std::vector<loan_return> loans;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(loans);
    }
};

struct loan_message
{
    incarnation_id to = 0;
    std::variant<loan_request, loan_grant, loan_returns> body;
};

/// @return size of a message in a datagram in bytes, including the envelope
/// @complexity linear in the message
[[nodiscard]] std::int64_t sizeOf(const loan_message &message);

/// @return size of the terms of one loan in a grant in bytes
[[nodiscard]] std::int64_t sizeOfTerms(const resource_id &resource);

} // namespace fuchsiagw::core
