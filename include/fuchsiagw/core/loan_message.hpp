/// @file
/// @brief What instances say to each other about loans.

#pragma once

#include <fuchsiagw/core/share_ledger.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace fuchsiagw::core {

struct loan_ask
{
    resource_id resource;
    loan_kind kind = loan_kind::Rate;
    share_count shares = 0; ///< more than it has already; 0 only extends

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(resource, kind, shares);
    }
};

struct loan_request
{
    incarnation_id borrower = 0;
    std::uint64_t number = 0; ///< increases with every request of the borrower
    std::int64_t sentAt = 0; ///< on the borrower's clock; meaningless to the lender
    std::vector<loan_ask> asks;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(borrower, number, sentAt, asks);
    }
};

struct loan_grant
{
    incarnation_id borrower = 0;
    std::int64_t sentAt = 0; ///< as in the request
    std::vector<loan_terms> loans;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(borrower, sentAt, loans);
    }
};

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

/// @brief Bytes that a message takes in a datagram, the envelope included.
/// @complexity linear in the message
[[nodiscard]] std::int64_t sizeOf(const loan_message &message);

/// @brief Bytes that the terms of one loan take in a grant.
[[nodiscard]] std::int64_t sizeOfTerms(const resource_id &resource);

} // namespace fuchsiagw::core
