/// @file
/// @brief Freshness proof by an operator, who vouches that a configuration version is the newest,
/// see core::proof_source::Operator.
///
/// The instance issues a challenge, and the operator answers with the version and a MAC over
/// challenge and version. The age of the proof counts from the issue of the challenge, so neither
/// side needs the other's clock, and an answer can't be replayed.

#pragma once

#include <fuchsiagw/core/config_spread.hpp>
#include <fuchsiagw/wire/admin_json.hpp>

#include <deque>

namespace fuchsiagw::wire {

/// Challenges that were issued and not yet answered. Invariant: at most 16, oldest first.
struct vouch_challenges
{
    struct challenge
    {
        std::string text;
        std::uint64_t root = 0; ///< root of the tree at issuedAt, see core::onOperatorProof()
        std::uint64_t roundNumber = 0;
        core::time_point issuedAt;
    };
    std::deque<challenge> open;
};

/// @brief Computes the MAC over instance, challenge and version.
/// @param secretHash BLAKE2b-256 of the operators' secret in hexadecimal
/// @return the MAC in hexadecimal
[[nodiscard]] std::string computeVouchMac(std::string_view secretHash,
                                          const core::instance_id &instance,
                                          std::string_view challenge,
                                          core::configuration_version version);

/// @brief Issues a challenge and answers `POST /v1/admin/vouch/challenge`.
[[nodiscard]] admin_answer answerChallenge(vouch_challenges &challenges,
                                           const core::spread_state &spread,
                                           core::configuration_version held, core::time_point now);

/// @brief Answers `POST /v1/admin/vouch`, whose body is `{challenge, version, mac}`. A successful
/// answer consumes the challenge.
[[nodiscard]] admin_answer answerVouch(vouch_challenges &challenges, core::spread_state &spread,
                                       core::freshness &proofs, std::string_view body,
                                       std::string_view secretHash, core::time_point now);

} // namespace fuchsiagw::wire
