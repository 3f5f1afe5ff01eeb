/// @file
/// @brief Records the events of the fault soak and checks the proxy's guarantees on them.
///
/// Callers report the statements that they send and the answers that they get; members report the
/// statements that they execute. Each report is checked against the earlier ones, and a violated
/// guarantee becomes a finding.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/manifest.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::testing {

/// The guarantees that the soak checks.
enum class soak_guarantee : std::uint8_t {
    OwnAnswer, ///< a successful answer is the member's answer to the same statement
    OnlyAsked, ///< members execute only statements that a caller sent, unchanged, in the key's
               ///< workspace
    OneTransaction, ///< a transaction has its own connection, session values and prepared
                    ///< statements
    OnceOnly, ///< no write is committed twice
    TrueRefusal, ///< a statement that was reported as not applied has no effect
    Fresh, ///< reads are as fresh as the consistency level of their route demands
    NothingLost, ///< a promoted member's log contains every acknowledged commit
    OnePromoter, ///< no two daemons promote with the same fencing token
    RateLimit, ///< no workspace exceeds its rate and burst
    KeysEnd, ///< a withdrawn key is refused within the promised time
    PlannedStop, ///< a planned stop interrupts no statement
    Recovery, ///< all requests succeed again after the faults end
    NoCrash, ///< no daemon process ends unless the soak ends it
};

inline constexpr std::array<std::string_view, 13> soakGuaranteeNames{
    "own_answer",   "only_asked",   "one_transaction", "once_only",  "true_refusal",
    "fresh",        "nothing_lost", "one_promoter",    "rate_limit", "keys_end",
    "planned_stop", "recovery",     "no_crash",
};

[[nodiscard]] constexpr std::string_view toString(soak_guarantee value)
{
    return soakGuaranteeNames.at(static_cast<std::size_t>(value));
}

struct soak_finding
{
    soak_guarantee guarantee;
    std::string text;
};

/// What a caller may conclude from the answer to a statement, or from its absence.
enum class caller_outcome : std::uint8_t {
    Open,
    Success,
    NotApplied, ///< the answer says that no write of the unit is applied
    Unknown,
};

using caller_values = std::map<std::string, std::string>;

/// A statement as its caller sent it.
struct sent_statement
{
    std::string text;
    std::string workspace;
    std::string service;
    std::uint64_t session = 0;
    std::uint64_t unit = 0; ///< number of the transaction or single statement that it belongs to
    bool inTransaction = false;
    bool writes = false;
    bool reachesMember = true; ///< false: the proxy may answer without a member
    std::string shape; ///< access and shape of a prepared statement; empty: not prepared
    caller_values values;
    proxy::consistency kind = proxy::consistency::Primary;
    core::duration maxStaleness{ 0 };
    core::time_point sentAt{};
    core::time_point unitSentAt{}; ///< when the first statement of the unit was sent
    core::log_index ownCommit = 0; ///< newest acknowledged commit of the session
    core::time_point keyEndsAt = core::noDeadline; ///< statements sent later must be refused
};

/// A member's answer to one execution of a statement. Every execution has a digest of its own.
struct member_answer
{
    std::string digest;
    std::vector<std::string> rows;

    friend bool operator==(const member_answer &, const member_answer &) = default;
};

/// A statement as a member executed it.
struct member_execution
{
    std::string id;
    std::string text; ///< for a prepared statement, only the part from its item on
    std::string shape;
    std::string workspace;
    std::string service;
    std::string member;
    std::uint64_t transaction = 0; ///< the member's number of the transaction; 0: none
    caller_values values;
    core::log_index applied = 0; ///< newest log entry that the member has applied
    member_answer answer;
    core::time_point executedAt{};
};

/// The member's transaction in which a caller's transaction runs.
struct transaction_location
{
    std::uint64_t transaction = 0;
    std::string firstStatement; ///< only this statement may be retried in another transaction
};

struct acknowledged_commit
{
    core::time_point at{};
    core::log_position position;
};

/// Rate limit of a workspace, in operations.
struct workspace_rate_limit
{
    double ratePerSecond = 0; ///< 0: unlimited
    double burst = 0;
};

struct soak_history
{
    std::map<std::string, workspace_rate_limit> rateLimits; ///< by workspace
    std::map<std::string, std::deque<core::time_point>> unitStarts; ///< by workspace
    std::set<std::uint64_t> rateCountedUnits;
    std::map<std::string, sent_statement> sentStatements; ///< by statement id
    std::map<std::string, std::vector<member_answer>>
            answers; ///< of each execution, by statement id
    std::map<std::string, int> effects; ///< number of commits of each write, by statement id
    std::set<std::uint64_t> notAppliedUnits;
    std::map<std::uint64_t, std::set<std::string>> writesByUnit; ///< statement ids
    std::map<std::uint64_t, std::uint64_t>
            unitByTransaction; ///< by the member's transaction number
    std::map<std::uint64_t, transaction_location> locationByUnit;
    std::map<std::string, std::vector<acknowledged_commit>> acknowledged; ///< by service
    std::map<std::pair<std::string, std::uint64_t>, std::string>
            tokenHolders; ///< by service and fencing token
    std::map<std::string, std::uint64_t> outcomes; ///< number of each, for the report
    std::map<std::string, std::uint64_t> inputs; ///< number of unusual inputs, for the report
    std::vector<soak_finding> findings;
};

/// @return the bytes with all but printable ASCII escaped; of long texts the beginning and the
/// length
[[nodiscard]] std::string printable(std::string_view bytes);

/// @brief Adds a finding, unless the limit on findings is reached.
void report(soak_history &history, soak_guarantee guarantee, std::string text);

/// @brief Records a statement that a caller is about to send.
void onStatementSent(soak_history &history, const std::string &id, sent_statement statement);

/// @brief Checks a statement that a member executed.
/// @complexity linear in the service's acknowledged commits
void onStatementExecuted(soak_history &history, const member_execution &execution);

/// @brief Records that the primary's log contains the writes of a transaction or a single write.
void onCommitted(soak_history &history, const std::vector<std::string> &writes);
/// @brief Records that a promotion truncated these writes.
void onRolledBack(soak_history &history, const std::vector<std::string> &writes);

/// @brief Records a successful answer to a statement.
/// @param answer as the caller received it; digest "-": the proxy answered by itself
void onSuccess(soak_history &history, const std::string &id, const member_answer &answer,
               std::optional<core::log_position> commit, core::time_point now);
/// @brief Records an error that a caller received.
/// @param code first word of the error
void onError(soak_history &history, const std::string &id, std::string_view code);
/// @brief Records that the proxy reported a unit as not applied to its caller, which does not retry
/// the unit.
void onReportedNotApplied(soak_history &history, std::uint64_t unit);

/// @brief Records a promotion that the platform carries out.
/// @param containsPosition tells whether the promoted member's log contains a position
void onPromoted(soak_history &history, const std::string &service, const std::string &holder,
                std::uint64_t token,
                const std::function<bool(core::log_position)> &containsPosition);

} // namespace fuchsiagw::testing
