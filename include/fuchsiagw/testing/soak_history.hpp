/// @file
/// @brief What callers asked and were told and what members ran, checked while it is recorded.
///
/// Callers and members of the soak report to one history. A promise that was broken becomes a
/// finding at the moment at which it can be seen.

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

/// The promises that the soak checks.
enum class soak_promise : std::uint8_t {
    OwnAnswer, ///< a success carries the member's answer to this very statement
    OnlyAsked, ///< members run what callers sent, unchanged, under the key's workspace
    OneTransaction, ///< on its own connection, with its own values and prepared statements
    OnceOnly, ///< no write takes effect twice
    TrueRefusal, ///< what was refused as not run left nothing behind
    Fresh, ///< reads see what their route promises
    NothingLost, ///< a promoted member has every acknowledged commit
    OnePromoter, ///< fencing tokens are not used by two daemons
    RateLimit, ///< no workspace runs more than its rate and burst
    KeysEnd, ///< a withdrawn key stops working in time
    PlannedStop, ///< a planned stop cuts no statement
    Recovery, ///< everything is served again after the faults
    NoCrash, ///< no daemon ends by itself
};

inline constexpr std::array<std::string_view, 13> soakPromiseNames{
    "own_answer",   "only_asked",   "one_transaction", "once_only",  "true_refusal",
    "fresh",        "nothing_lost", "one_promoter",    "rate_limit", "keys_end",
    "planned_stop", "recovery",     "no_crash",
};

[[nodiscard]] constexpr std::string_view toString(soak_promise value)
{
    return soakPromiseNames.at(static_cast<std::size_t>(value));
}

struct soak_finding
{
    soak_promise promise;
    std::string text;
};

/// What a caller may conclude from an answer, or from none.
enum class caller_outcome : std::uint8_t {
    Open,
    Success,
    NotApplied, ///< the answer promises that nothing is kept
    Unknown,
};

using caller_values = std::map<std::string, std::string>;

/// One statement as its caller sent it.
struct sent_statement
{
    std::string text;
    std::string workspace;
    std::string service;
    std::uint64_t session = 0;
    std::uint64_t unit = 0; ///< single statement or transaction
    bool inTransaction = false;
    bool writes = false;
    std::string shape; ///< of a prepared statement: access and shape
    caller_values values;
    proxy::consistency kind = proxy::consistency::Primary;
    core::duration maxStaleness{ 0 };
    core::time_point sentAt{};
    core::time_point unitSentAt{}; ///< when the first statement of the unit was sent
    core::log_index ownCommit = 0; ///< newest acknowledged commit of the session
    core::time_point keyEndsAt = core::noDeadline; ///< the key must not work later
};

/// One statement as a member ran it.
struct member_execution
{
    std::string id;
    std::string text; ///< of a prepared statement: from its item on
    std::string shape;
    std::string workspace;
    std::string service;
    std::string member;
    std::uint64_t transaction = 0; ///< number that the member gave it; 0: none
    caller_values values;
    core::log_index applied = 0; ///< newest entry that the member's data holds
    std::string digest; ///< of the answer
    std::string row;
    core::time_point now{};
};

/// Where the statements of a caller's transaction ran.
struct transaction_place
{
    std::uint64_t transaction = 0;
    std::string first; ///< statement; it alone may be tried again elsewhere
};

struct acknowledged_commit
{
    core::time_point at{};
    core::log_position position;
};

/// How many operations of a workspace may run in a window.
struct workspace_rate_limit
{
    double ratePerSecond = 0; ///< 0: unlimited
    double burst = 0;
};

struct soak_history
{
    std::map<std::string, workspace_rate_limit> rateLimits; ///< by workspace
    std::map<std::string, std::deque<core::time_point>> startedUnits; ///< by workspace
    std::set<std::uint64_t> countedUnits;
    std::map<std::string, sent_statement> asked; ///< by statement id
    std::map<std::string, std::vector<std::pair<std::string, std::string>>>
            answers; ///< digest, row
    std::map<std::string, int> effects; ///< of writes, by statement id
    std::set<std::uint64_t> refusedUnits;
    std::map<std::uint64_t, std::set<std::string>> writesOf; ///< by unit
    std::map<std::uint64_t, std::uint64_t> unitOf; ///< by the members' number of the transaction
    std::map<std::uint64_t, transaction_place> placeOf; ///< by unit
    std::map<std::string, std::vector<acknowledged_commit>> acknowledged; ///< by service
    std::map<std::pair<std::string, std::uint64_t>, std::string> holders; ///< of tokens
    std::map<std::string, std::uint64_t> outcomes; ///< how often each was seen, for the report
    std::vector<soak_finding> findings;
};

void report(soak_history &history, soak_promise promise, std::string text);

/// @brief A caller is about to send a statement.
void onStatementSent(soak_history &history, const std::string &id, sent_statement statement);

/// @brief A member executes a statement.
/// @complexity linear in the service's acknowledged commits of the last seconds
void onStatementExecuted(soak_history &history, const member_execution &run);

/// @brief A transaction, or single write, is in the primary's log now.
void onCommitted(soak_history &history, const std::vector<std::string> &writes);
/// @brief A promotion took it out again.
void onRolledBack(soak_history &history, const std::vector<std::string> &writes);

/// @brief A caller got an answer that ends a statement.
/// @param digest of a success by a member; "-": the proxy answered itself
void onSuccess(soak_history &history, const std::string &id, const std::string &digest,
               const std::string &row, std::optional<core::log_position> commit,
               core::time_point now);
/// @brief The unit of a statement will not be repeated; its caller was promised that nothing is
/// kept.
void onReportedNotApplied(soak_history &history, std::uint64_t unit);

/// @brief The platform carries a promotion out.
/// @param holds whether the promoted log has a position
void onPromoted(soak_history &history, const std::string &service, const std::string &holder,
                std::uint64_t token, const std::function<bool(core::log_position)> &holds);

} // namespace fuchsiagw::testing
