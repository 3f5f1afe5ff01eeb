/// @file
/// @brief The two ways of a configuration: submitting a note to the platform, and taking in a
/// version. Both are state machines without I/O.

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

/// Row of the table service with the newest version.
inline constexpr std::string_view configurationRowKey = "configuration";

/// Text forms, which the package wire provides. All of them are pure functions.
struct configuration_codec
{
    std::string (*write)(const configuration &config) = nullptr;
    std::error_code (*read)(std::string_view text, configuration &config,
                            std::string &problem) = nullptr;
    std::string (*digest)(std::string_view text) = nullptr;
    std::string (*writeNote)(const release_note &note) = nullptr;
};

/// Value of the row `configuration`: version, note id and object name, divided by spaces.
struct configuration_row
{
    configuration_version version = 0;
    std::string noteId;
    std::string objectName;

    friend bool operator==(const configuration_row &, const configuration_row &) = default;
};

[[nodiscard]] std::string writeRow(const configuration_row &row);

/// @return false if @p text is not a row; @p row is then unchanged
[[nodiscard]] bool readRow(std::string_view text, configuration_row &row);

/// @return name of the object with the body of a version, made from its content
[[nodiscard]] std::string objectNameOf(configuration_version version, std::string_view digest);

/// @return key of the row that remembers the version and digest of an applied note
[[nodiscard]] std::string noteRowKey(std::string_view noteId);

/// Steps of a submit; each but the last is one request to the platform.
enum class submit_step : std::uint8_t {
    ReadRow, ///< the newest version
    ReadNote, ///< whether the note was applied before
    ReadObject, ///< the body of the newest version
    PutObject, ///< the body of the next version
    Commit, ///< compare-and-set of the row, together with the note's row
    Finish,
};

inline constexpr std::array<std::string_view, 6> submitStepNames{ "read_row",    "read_note",
                                                                  "read_object", "put_object",
                                                                  "commit",      "finish" };

/// One request to the platform, or the end.
struct submit_action
{
    submit_step step = submit_step::Finish;
    time_point notBefore = time_point::min(); ///< pause before a retry
    std::string key; ///< of the row or object to read or put
    std::string body; ///< of the object
    std::string transactionId;
    std::vector<std::pair<std::string, std::uint64_t>> checks; ///< row and its version
    std::vector<std::pair<std::string, std::string>> puts; ///< row and its value
};

/// The platform's answer to a submit_action.
struct platform_answer
{
    bool isAnswered = false; ///< false: no answer, or the platform reported that it is unavailable
    bool isFound = false; ///< row or object exists, or the transaction committed
    std::uint64_t rowVersion = 0;
    std::string value; ///< of the row, or body of the object
};

/// How a submit ended. Invariant: `newest` is set if `error` is empty. The instance takes it in and
/// waits for isHeldElsewhere() before it answers the operator; if that does not come in time, the
/// answer is NoteOutcomeUnknown. An acceptance that was told is then visible to proof (c).
struct submit_result
{
    std::error_code error; ///< empty: applied
    note_problem problem; ///< for an error that is no I/O error
    configuration_version version = 0; ///< that the note made
    bool wasAppliedBefore = false;
    std::shared_ptr<const configuration> newest; ///< if it was read
    std::string newestName; ///< object name of `newest`
};

struct submit_state
{
    release_note note;
    std::string noteDigest;
    time_point deadline; ///< after which the submit ends with what is known
    submit_step step = submit_step::ReadRow;
    bool mayHaveCommitted = false; ///< a commit was sent and its answer is not known
    unsigned failures = 0; ///< in a row
    unsigned refusals = 0; ///< of the commit
    std::uint64_t rowVersion = 0;
    configuration_row row;
    std::shared_ptr<const configuration> base;
    std::shared_ptr<const configuration> next;
    std::string nextName;
    std::string nextBody;
    submit_result result; ///< valid once step is Finish
};

/// @brief Starts a submit.
/// @return the first action
[[nodiscard]] submit_action startSubmit(submit_state &state, release_note note, time_point deadline,
                                        const configuration_codec &codec);

/// @brief Takes in the answer to the last action.
///
/// Before a retry of the commit the row and the note's row are read back, in this order: if the
/// row has moved and the note's row is still missing, the commit can't take effect any more.
/// @return the next action; after Finish the result is in the state
/// @complexity linear in the size of the configuration, times the logarithm of its sections
[[nodiscard]] submit_action continueSubmit(submit_state &state, const platform_answer &answer,
                                           time_point now, const configuration_codec &codec);

/// @brief Tells whether a version may exist that only this submit knows of.
///
/// While a submit runs, and after one that ended unsettled until the next successful read of the
/// platform, spread_state::hasUnresolvedSubmit must be set.
[[nodiscard]] bool isUnresolved(const submit_state &state);

/// Where a version can be fetched. An empty instance is the platform.
struct fetch_source
{
    instance_id peer;
    configuration_version version = 0;
    std::string objectName; ///< from the platform's row; empty for a peer

    friend bool operator==(const fetch_source &, const fetch_source &) = default;
};

enum class install_result : std::uint8_t {
    Installed,
    NotNewer, ///< not newer than what is in force
    Damaged, ///< not a valid configuration, or not the announced version or content
};

inline constexpr std::array<std::string_view, 3> installResultNames{ "taken", "known", "damaged" };

/// The version in force and the way to a newer one. Invariant: `current->version` never decreases.
struct config_store
{
    std::shared_ptr<const configuration> current = std::make_shared<configuration>();
    std::string currentObjectName; ///< object name of `current`
    std::string currentBody; ///< its canonical text, for peers that ask
    std::deque<std::shared_ptr<const configuration>> earlier; ///< for explaining conflicts
    std::vector<fetch_source> sources; ///< of newer versions, greatest version first
    time_point fetchDeadline = time_point::min(); ///< until then one fetch is under way
    bool isFetching = false;
};

/// @brief Notes that a newer version exists at a source.
/// @return a fetch to start now
/// @complexity linear in the number of sources
[[nodiscard]] std::optional<fetch_source>
addFetchSource(config_store &store, const fetch_source &source, time_point now);

/// @brief Takes in a body, however it arrived. Only a greater version is taken, and only if the
/// body is canonical and matches @p source.
/// @param source with its version, and its object name if known
/// @complexity linear in the size of @p body
[[nodiscard]] install_result installVersion(config_store &store, const fetch_source &source,
                                            std::string_view body,
                                            const configuration_codec &codec);

/// @brief Notes that a fetch failed or gave a damaged body; the source is tried last from now on.
void onFetchFailed(config_store &store, const fetch_source &source);

/// @return a fetch to start now; also after the deadline of one that got no answer
[[nodiscard]] std::optional<fetch_source> nextFetch(config_store &store, time_point now);

/// @return what changed since @p version, if that version is still in memory
[[nodiscard]] std::optional<section_changes> changesSince(const config_store &store,
                                                          configuration_version version);

} // namespace fuchsiagw::core
