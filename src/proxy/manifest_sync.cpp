/// @file
/// @brief Times of the reads of the manifest.

#include <fuchsiagw/proxy/manifest_sync.hpp>

#include <algorithm>
#include <chrono>

namespace fuchsiagw::proxy {

namespace {

using std::chrono::milliseconds;

/// Time within which a daemon's own feed normally delivers a manifest that another daemon has.
constexpr milliseconds feedDelay{ 400 };
/// Pause after the first read of the table with a manifest that can't be read; it doubles.
constexpr milliseconds unreadablePause{ 400 };
constexpr int maxPauseDoublings = 4;
/// Daemons that read the store often. With several, proofs go on while one is down or cut off.
constexpr std::size_t frequentReaders = 3;
constexpr milliseconds minProofLifetime{ 500 };
constexpr milliseconds maxArrivalPause{ 1'000 }; // between two parts of an answer
constexpr milliseconds maxArrivalTime{ 5'000 }; // of one answer, in which no other read starts

} // namespace

core::duration proofLifetime(core::duration limit, std::size_t rank, std::size_t instances)
{
    // The remainder of the limit is for the read itself, and for one that has to be repeated. Other
    // daemons read at different times, so that the first of them serve the rest.
    const core::duration spread = limit * 3 / 10;
    const auto position = static_cast<std::int64_t>(std::min(rank, instances));
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(instances, 1));
    const core::duration lifetime =
            rank < frequentReaders ? limit * 3 / 10 : limit / 2 + spread * position / count;
    return std::max<core::duration>(lifetime, minProofLifetime);
}

bool isManifestMissing(const manifest_sync &state)
{
    return std::max(state.heldVersion, state.absentVersion) < state.namedVersion
           || state.hasUnreadableRow;
}

void onManifestNamed(manifest_sync &state, std::uint64_t version, core::time_point now)
{
    if (version <= std::max({ state.heldVersion, state.namedVersion, state.absentVersion }))
        return;
    state.namedVersion = version;
    state.namedAt = now;
    state.namedReadDueAt = std::min(state.namedReadDueAt, now + feedDelay);
    state.notBefore = std::min(state.notBefore, now + feedDelay);
}

void onManifestProven(manifest_sync &state, core::time_point at, core::duration lifetime)
{
    state.provenAt = std::max(state.provenAt, at);
    state.proofDueAt = std::max(state.proofDueAt, at + lifetime);
}

void onManifestHeld(manifest_sync &state, std::uint64_t version)
{
    state.heldVersion = std::max(state.heldVersion, version);
    if (state.hasUnreadableRow)
        state.notBefore = {}; // the pause was for the row that could not be read
    state.hasUnreadableRow = false;
    state.unreadableAnswers = 0;
    if (!isManifestMissing(state))
        state.namedReadDueAt = core::noDeadline;
}

void onManifestUnreadable(manifest_sync &state, core::time_point now)
{
    if (!state.hasUnreadableRow)
        state.namedReadDueAt = std::min(state.namedReadDueAt, now);
    state.hasUnreadableRow = true;
    state.needsTable = true;
}

core::time_point nextManifestRead(const manifest_sync &state)
{
    if (state.isReading)
        return core::noDeadline;
    return std::max({ state.notBefore, state.feedArrivesUntil,
                      std::min(state.namedReadDueAt, state.proofDueAt) });
}

void onManifestFeedArriving(manifest_sync &state, core::time_point now)
{
    if (state.feedArrivalEndsAt == core::time_point{})
        state.feedArrivalEndsAt = now + maxArrivalTime;
    state.feedArrivesUntil = std::min(now + maxArrivalPause, state.feedArrivalEndsAt);
}

void onManifestFeedEnded(manifest_sync &state)
{
    state.feedArrivesUntil = {};
    state.feedArrivalEndsAt = {};
}

std::optional<manifest_read> startManifestRead(manifest_sync &state, core::time_point now)
{
    if (now < nextManifestRead(state))
        return std::nullopt;
    state.isReading = true;
    state.sentAt = now;
    return state.needsTable ? manifest_read::Table : manifest_read::Changes;
}

void onManifestRead(manifest_sync &state, manifest_read kind, core::time_point now,
                    core::duration lifetime)
{
    state.isReading = false;
    state.failures = 0;
    state.notBefore = now;
    const bool isWhole = kind == manifest_read::Table;
    if (isWhole && state.hasUnreadableRow) {
        const int doublings = std::min(state.unreadableAnswers++, maxPauseDoublings);
        state.namedReadDueAt = now;
        state.notBefore = now + unreadablePause * (1 << doublings);
        return;
    }
    // What a peer named before the read was sent is in the answer, or not in the store.
    if (isWhole && state.namedAt <= state.sentAt)
        state.absentVersion = std::max(state.absentVersion, state.namedVersion);
    if (isManifestMissing(state)) {
        // A feed that lacks a manifest which another daemon has is no proof.
        state.needsTable = true;
        state.namedReadDueAt = now;
        return;
    }
    state.needsTable = false;
    state.namedReadDueAt = core::noDeadline;
    onManifestProven(state, state.sentAt, lifetime);
}

void onManifestReadFailed(manifest_sync &state, core::time_point retryAt, bool isHistoryGone)
{
    state.isReading = false;
    state.failures += isHistoryGone ? 0 : 1;
    state.needsTable = state.needsTable || isHistoryGone;
    state.notBefore = retryAt;
}

void onManifestFeedFailed(manifest_sync &state, core::time_point now, core::time_point retryAt,
                          bool isHistoryGone)
{
    state.failures += isHistoryGone ? 0 : 1;
    state.needsTable = state.needsTable || isHistoryGone;
    state.proofDueAt = std::min(state.proofDueAt, now);
    state.notBefore = std::max(state.notBefore, retryAt);
}

} // namespace fuchsiagw::proxy
