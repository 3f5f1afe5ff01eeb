/// @file
/// @brief Decides when a daemon reads the manifest from the store, and knows how old the last proof
/// is that its manifest is the newest.
///
/// A change normally comes through a read of the change feed that waits for it. That read can hang,
/// fail or be late without any sign, so it is no proof of anything. A proof is the answer to a read
/// that does not wait: no manifest newer than the one that is held existed when the read was sent.
/// Daemons tell each other the age of their proofs, so that a few reads serve all of them. A daemon
/// whose proof becomes too old, or that is told of a newer manifest, reads the store itself.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace fuchsiagw::proxy {

enum class manifest_read : std::uint8_t {
    Changes, ///< the rows that have changed since the last answer
    Table, ///< all rows
};

/// Invariants: at most one read is in progress, and none replaces it, because an answer that takes
/// longer than the pause between two reads would otherwise never be applied; `heldVersion` and
/// `provenAt` never decrease.
struct manifest_sync
{
    std::uint64_t heldVersion = 0; ///< newest manifest that was read
    std::uint64_t namedVersion = 0; ///< newest manifest that another daemon has named
    core::time_point namedAt{}; ///< when `namedVersion` was heard of first
    /// Named versions up to this one are not in the store, which a read of the table has shown. The
    /// store is right: it may have been restored from an older copy.
    std::uint64_t absentVersion = 0;
    core::time_point provenAt{}; ///< no manifest newer than `heldVersion` existed then
    core::time_point proofDueAt{}; ///< when the next proof is read, unless a peer brings one
    core::time_point namedReadDueAt = core::noDeadline; ///< when a named manifest is read
    core::time_point notBefore{}; ///< of the next read, after one that failed or brought no news
    core::time_point sentAt{}; ///< of the read in progress, or of the last one
    /// No read starts before, as an answer of the feed arrives that may contain what is missing.
    core::time_point feedArrivesUntil{};
    core::time_point feedArrivalEndsAt{}; ///< bound of `feedArrivesUntil` for the answer under way
    bool isReading = false;
    bool needsTable = true; ///< the changes since the last answer are not enough
    bool hasUnreadableRow = false; ///< the store's newest manifest can't be read
    int failures = 0; ///< reads in a row without a usable answer
    int unreadableAnswers = 0; ///< reads of the table in a row with a manifest that can't be read
};

/// @return how long a proof serves, from the moment as of which it holds
/// @param limit time within which a manifest has to be in force
/// @param rank place of the daemon in an order of all daemons; the first few read the store often,
/// the others only if the proofs of these don't reach them
[[nodiscard]] core::duration proofLifetime(core::duration limit, std::size_t rank,
                                           std::size_t instances);

/// @brief Handles that another daemon has a manifest of this version.
void onManifestNamed(manifest_sync &state, std::uint64_t version, core::time_point now);

/// @brief Handles a proof: no manifest newer than the held one existed at a time.
void onManifestProven(manifest_sync &state, core::time_point at, core::duration lifetime);

/// @brief Handles a manifest that was read, in whatever way.
void onManifestHeld(manifest_sync &state, std::uint64_t version);

/// @brief Handles a row of a manifest that can't be read: the table is read again.
void onManifestUnreadable(manifest_sync &state, core::time_point now);

/// @brief Handles that a part of the feed's answer has arrived.
void onManifestFeedArriving(manifest_sync &state, core::time_point now);

/// @brief Handles that the feed's answer is complete, or that its call has failed.
void onManifestFeedEnded(manifest_sync &state);

/// @return the time of the next read; core::noDeadline while one is in progress
[[nodiscard]] core::time_point nextManifestRead(const manifest_sync &state);

/// @brief Starts the read that is due, if any; onManifestRead() or onManifestReadFailed() ends it.
[[nodiscard]] std::optional<manifest_read> startManifestRead(manifest_sync &state,
                                                             core::time_point now);

/// @brief Handles a usable answer, after onManifestHeld() or onManifestUnreadable() for its row.
/// @param lifetime of the proof that the answer is
void onManifestRead(manifest_sync &state, manifest_read kind, core::time_point now,
                    core::duration lifetime);

/// @brief Handles a read without a usable answer.
/// @param retryAt earliest time of the next read
/// @param isHistoryGone the store has dropped the changes that were to be read
void onManifestReadFailed(manifest_sync &state, core::time_point retryAt, bool isHistoryGone);

/// @brief Handles a call of the feed without a usable answer; parameters as above. A read follows.
void onManifestFeedFailed(manifest_sync &state, core::time_point now, core::time_point retryAt,
                          bool isHistoryGone);

/// @return whether the daemon has been told of a manifest that it doesn't have, or of one that it
/// can't read
[[nodiscard]] bool isManifestMissing(const manifest_sync &state);

} // namespace fuchsiagw::proxy
