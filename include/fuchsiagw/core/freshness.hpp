/// @file
/// @brief Proofs that an instance holds the newest configuration.
///
/// A proof says "version v was the newest at time t". It is stated in the clock of the instance
/// that uses it, with t counted from the time when that instance sent its question. Whatever was
/// withdrawn before t is then part of any version that is not below v.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/time.hpp>

namespace fuchsiagw::core {

inline constexpr duration defaultProofLifetime = std::chrono::seconds(5);
inline constexpr duration minProofLifetime = std::chrono::seconds(1);
inline constexpr duration maxProofLifetime = std::chrono::seconds(60);

/// Where a proof comes from; docs/design.md section 7, (a) to (d).
enum class proof_source : std::uint8_t {
    None,
    Platform,
    Peer,
    Report,
    Operator,
};

inline constexpr std::array<std::string_view, 5> proofSourceNames{ "none", "platform", "peer",
                                                                   "report", "operator" };

[[nodiscard]] constexpr std::string_view toString(proof_source source)
{
    return proofSourceNames.at(static_cast<std::size_t>(source));
}

/// Version `version` was the newest at time `at`.
struct freshness_proof
{
    configuration_version version = 0;
    time_point at = time_point::min();
    proof_source source = proof_source::None;
};

/// Invariant: `usable.version <= held < pending.version`, as far as the proofs exist.
struct freshness
{
    configuration_version held = 0; ///< version in force at this instance; 0: none
    freshness_proof usable; ///< newest proof that `held` satisfies
    freshness_proof pending; ///< newest proof of a version that has not arrived yet
    duration proofLifetime = defaultProofLifetime; ///< setting `keys.unproven_wait`
};

/// @brief Takes in a proof; an older one changes nothing.
/// @complexity constant
void addProof(freshness &state, const freshness_proof &proof);

/// @brief Notes that @p version is in force now. Versions only increase.
/// @complexity constant
void setHeldVersion(freshness &state, configuration_version version);

/// @brief Proof (a): the platform answered with @p version to a question sent at @p sentAt.
void addPlatformProof(freshness &state, configuration_version version, time_point sentAt);

/// @brief Proof (b): a peer stated a proof of the given age, asked at @p sentAt.
/// @param age age when the peer answered; a negative one counts as 0
void addPeerProof(freshness &state, configuration_version version, duration age, time_point sentAt);

/// @brief Proof (d): an operator signed @p version against a challenge issued at @p issuedAt.
void addOperatorProof(freshness &state, configuration_version version, time_point issuedAt);

/// @return the time from which keys are refused if no further proof comes; time_point::min() if
/// there is no usable proof
[[nodiscard]] time_point proofExpiresAt(const freshness &state);

/// @brief Tells whether keys may be accepted at @p now.
/// @complexity constant
[[nodiscard]] bool isProven(const freshness &state, time_point now);

} // namespace fuchsiagw::core
