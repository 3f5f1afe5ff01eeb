/// @file
/// @brief Proofs that the configuration in force at an instance is the newest.
///
/// A proof states "version v was the newest at time t". The time t is in the clock of the instance
/// that uses the proof: it is the time at which that instance sent its request, or earlier. A key
/// that was withdrawn before t is therefore withdrawn in every version from v on.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/time.hpp>

namespace fuchsiagw::core {

inline constexpr duration defaultProofLifetime = std::chrono::seconds(5);
inline constexpr duration minProofLifetime = std::chrono::seconds(1);
inline constexpr duration maxProofLifetime = std::chrono::seconds(60);

/// Origin of a proof; see docs/design.md section 7, (a) to (d).
enum class proof_source : std::uint8_t {
    None,
    Platform, ///< (a) the platform's version row
    Peer, ///< (b) a proof that a peer forwarded
    Report, ///< (c) acknowledgements of all listed instances
    Operator, ///< (d) an operator's answer to a challenge
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

/// Freshness of the configuration at one instance. Invariant: `usable.version <= heldVersion` and
/// `heldVersion < pending.version`, for those of the two proofs that exist.
struct freshness
{
    configuration_version heldVersion = 0; ///< version in force at this instance; 0: none
    freshness_proof usable; ///< newest proof that `heldVersion` satisfies
    freshness_proof pending; ///< newest proof of a version that has not arrived yet
    duration proofLifetime = defaultProofLifetime; ///< setting `keys.unproven_wait_ms`
};

/// @brief Adds a proof. A proof that is older than the known one is ignored.
/// @complexity constant
void addProof(freshness &state, const freshness_proof &proof);

/// @brief Records that @p version is in force now. It must not be lower than the previous one.
/// @complexity constant
void setHeldVersion(freshness &state, configuration_version version);

/// @brief Adds proof (a): the platform answered a request sent at @p sentAt with @p version.
void addPlatformProof(freshness &state, configuration_version version, time_point sentAt);

/// @brief Adds proof (b): a peer answered a request sent at @p sentAt with a proof of age @p age.
/// @param age age of the proof when the peer answered; a negative age counts as 0
void addPeerProof(freshness &state, configuration_version version, duration age, time_point sentAt);

/// @brief Adds proof (d): an operator signed @p version for a challenge issued at @p issuedAt.
void addOperatorProof(freshness &state, configuration_version version, time_point issuedAt);

/// @return the time from which keys are refused unless a newer proof arrives; time_point::min() if
/// there is no usable proof
[[nodiscard]] time_point proofExpiresAt(const freshness &state);

/// @brief Tells whether keys may be accepted at @p now.
/// @complexity constant
[[nodiscard]] bool isProven(const freshness &state, time_point now);

} // namespace fuchsiagw::core
