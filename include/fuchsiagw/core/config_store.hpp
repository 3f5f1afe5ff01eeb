/// @file
/// @brief State machines without I/O that submit a release note to the platform, and that fetch and
/// install a version of the configuration.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/release_note.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagw::core {

/// Key of the row in the platform's table service that names the newest version.
inline constexpr std::string_view configurationRowKey = "configuration";

/// Serialization functions, provided by the wire library. All of them are pure.
struct configuration_codec
{
    std::string (*write)(const configuration &config) = nullptr;
    std::error_code (*read)(std::string_view text, configuration &config,
                            std::string &problem) = nullptr;
    std::string (*digest)(std::string_view text) = nullptr;
    std::string (*writeNote)(const release_note &note) = nullptr;
};

/// Value of the row `configuration`: version, note id and object name, separated by spaces.
struct configuration_row
{
    configuration_version version = 0;
    std::string noteId;
    std::string objectName;

    friend bool operator==(const configuration_row &, const configuration_row &) = default;
};

[[nodiscard]] std::string writeRow(const configuration_row &row);

/// @return false if @p text can't be parsed; @p row is then unchanged
[[nodiscard]] bool readRow(std::string_view text, configuration_row &row);

/// @return name of the object that stores the body of a version; it contains the body's digest
[[nodiscard]] std::string objectNameOf(configuration_version version, std::string_view digest);

/// @return key of the row that stores the version and digest of an applied note
[[nodiscard]] std::string noteRowKey(std::string_view noteId);

/// Steps of a submit. Each step except Finish is one request to the platform.
enum class submit_step : std::uint8_t {
    ReadRow, ///< reads which version is the newest
    ReadNote, ///< reads whether the note was applied before
    ReadObject, ///< reads the body of the newest version
    PutObject, ///< stores the body of the next version
    Commit, ///< compare-and-set of the row, atomic with the creation of the note's row
    Finish,
};

inline constexpr std::array<std::string_view, 6> submitStepNames{ "read_row",    "read_note",
                                                                  "read_object", "put_object",
                                                                  "commit",      "finish" };

/// One request to the platform, or the end of the submit.
struct submit_action
{
    submit_step step = submit_step::Finish;
    time_point notBefore = time_point::min(); ///< earliest time to send; later for a retry
    std::string key; ///< row or object to read or put
    std::string body; ///< body of the object to put
    std::string transactionId;
    std::vector<std::pair<std::string, std::uint64_t>> checks; ///< row key, expected version
    std::vector<std::pair<std::string, std::string>> puts; ///< row key, new value
};

/// The platform's answer to a submit_action.
struct platform_answer
{
    bool isAnswered = false; ///< false: timeout, or the platform reported unavailability
    bool isFound = false; ///< the row or object exists, or the transaction committed
    std::uint64_t rowVersion = 0;
    std::string value; ///< value of the row, or body of the object
};

/// Outcome of a submit. Invariant: `newest` is set if `error` is empty.
///
/// The submitting instance installs `newest` and waits until isHeldElsewhere() is true before it
/// reports success to the operator; after a timeout it reports NoteOutcomeUnknown. A version whose
/// acceptance was reported is therefore visible to proofs from proof_source::Report.
struct submit_result
{
    std::error_code error; ///< empty if the note was applied
    note_problem problem; ///< details, unless `error` is an I/O error
    configuration_version version = 0; ///< version that the note created
    bool wasAppliedBefore = false;
    std::shared_ptr<const configuration> newest; ///< newest version; null if it was not read
    std::string newestName; ///< object name of `newest`
};

struct submit_state
{
    release_note note;
    std::string noteDigest;
    time_point deadline; ///< retries stop here; the error then tells whether a commit may exist
    submit_step step = submit_step::ReadRow;
    bool mayHaveCommitted = false; ///< a commit was sent and its outcome is unknown
    unsigned consecutiveFailures = 0; ///< requests without an answer since the last answer
    unsigned commitConflicts = 0; ///< commits that the platform refused
    std::uint64_t rowVersion = 0;
    configuration_row row;
    std::shared_ptr<const configuration> base;
    std::shared_ptr<const configuration> next;
    std::string nextName;
    std::string nextBody;
    submit_result result; ///< valid if `step` is Finish
};

/// @brief Starts a submit.
/// @return the first action
[[nodiscard]] submit_action startSubmit(submit_state &state, release_note note, time_point deadline,
                                        const configuration_codec &codec);

/// @brief Processes the platform's answer to the last action.
///
/// Before a commit is retried, the row `configuration` and then the note's row are read again. If
/// the version of the first has changed and the second does not exist, the earlier commit can no
/// longer take effect, because its check of the row version fails.
/// @return the next action; if its step is Finish, the result is in @p state
/// @complexity linear in the size of the configuration, times the logarithm of its sections
[[nodiscard]] submit_action continueSubmit(submit_state &state, const platform_answer &answer,
                                           time_point now, const configuration_codec &codec);

/// @brief Tells whether this submit may have created a version that no instance knows of yet.
///
/// The caller must set spread_state::hasUnresolvedSubmit while a submit runs, and after a submit
/// that ended unresolved until the next successful read of the platform.
[[nodiscard]] bool isUnresolved(const submit_state &state);

/// Peer or platform from which a version can be fetched.
struct fetch_source
{
    instance_id peer; ///< empty: the platform
    configuration_version version = 0;
    std::string objectName; ///< object name in the platform's row; empty for a peer

    friend bool operator==(const fetch_source &, const fetch_source &) = default;
};

enum class install_result : std::uint8_t {
    Installed,
    NotNewer, ///< not newer than the version in force
    Damaged, ///< not a valid configuration, or not the announced version or digest
};

inline constexpr std::array<std::string_view, 3> installResultNames{ "taken", "known", "damaged" };

/// The version in force, and the sources of newer ones. Invariant: `current->version` never
/// decreases.
struct config_store
{
    std::shared_ptr<const configuration> current = std::make_shared<configuration>();
    std::string currentObjectName; ///< object name of `current`
    std::string currentBody; ///< canonical text of `current`, sent to peers that request it
    /// Previous versions, for the difference that is reported with a NoteConflict.
    std::deque<std::shared_ptr<const configuration>> earlierVersions;
    std::vector<fetch_source> sources; ///< greatest version first; a failed source moves to the end
    time_point fetchDeadline = time_point::min(); ///< of the next part of the running fetch
    bool isFetching = false;
};

/// @brief Adds a source of a newer version, or updates the version that a known source announced.
/// @return a fetch to start now
/// @complexity linear in the number of sources
[[nodiscard]] std::optional<fetch_source>
addFetchSource(config_store &store, const fetch_source &source, time_point now);

/// @brief Installs a body from any source if its version is greater than the one in force, its text
/// is canonical and it matches @p source.
/// @param source the source, with the announced version, and the object name if it is known
/// @complexity linear in the size of @p body
[[nodiscard]] install_result installVersion(config_store &store, const fetch_source &source,
                                            std::string_view body,
                                            const configuration_codec &codec);

/// @brief Ends a fetch that failed or returned a damaged body, and moves its source to the end of
/// the list.
void onFetchFailed(config_store &store, const fetch_source &source);

/// @return a fetch to start now, if none is running or the running one has timed out
[[nodiscard]] std::optional<fetch_source> nextFetch(config_store &store, time_point now);

/// @brief Handles that a part of a body has arrived from a peer: its fetch gets more time, so that
/// a body which needs longer than the time for a fetch is not asked for from its start again and
/// again.
void onFetchProgress(config_store &store, const instance_id &peer, time_point now);

/// @return the difference between @p version and the current version; empty if @p version is no
/// longer in memory
[[nodiscard]] std::optional<section_changes> changesSince(const config_store &store,
                                                          configuration_version version);

} // namespace fuchsiagw::core
