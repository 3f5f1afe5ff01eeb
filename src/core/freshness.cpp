/// @file
/// @brief Freshness proofs.

#include <fuchsiagw/core/freshness.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

void addProof(freshness &state, const freshness_proof &proof)
{
    freshness_proof &target = proof.version <= state.heldVersion ? state.usable : state.pending;
    if (proof.at > target.at)
        target = proof;
}

void setHeldVersion(freshness &state, configuration_version version)
{
    assert(version >= state.heldVersion);
    state.heldVersion = version;
    if (state.pending.source != proof_source::None && state.pending.version <= version) {
        if (state.pending.at > state.usable.at)
            state.usable = state.pending;
        state.pending = {};
    }
}

void addPlatformProof(freshness &state, configuration_version version, time_point sentAt)
{
    addProof(state, { version, sentAt, proof_source::Platform });
}

void addPeerProof(freshness &state, configuration_version version, duration age, time_point sentAt)
{
    addProof(state, { version, sentAt - std::max(age, duration::zero()), proof_source::Peer });
}

void addOperatorProof(freshness &state, configuration_version version, time_point issuedAt)
{
    addProof(state, { version, issuedAt, proof_source::Operator });
}

time_point proofExpiresAt(const freshness &state)
{
    if (state.heldVersion == 0 || state.usable.source == proof_source::None)
        return time_point::min();
    return state.usable.at + std::clamp(state.proofLifetime, minProofLifetime, maxProofLifetime);
}

bool isProven(const freshness &state, time_point now)
{
    return now < proofExpiresAt(state);
}

} // namespace fuchsiagw::core
