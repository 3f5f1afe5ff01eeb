/// @file
/// @brief Model of a member of a database group, without I/O, as section 6.1 of the design
/// specifies.
///
/// A statement is one command: `get KEY`, `set KEY VALUE`, `add KEY NUMBER`, `append KEY TEXT`, or
/// `fail`, which always fails. KEY and the value may be `$1`, `$2`... for a parameter. Each
/// workspace has its own keys. Outside a transaction a write commits by itself.

#pragma once

#include <fuchsiagw/core/member_protocol.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/testing/connection_number.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagw::testing {

/// A committed write, a committed transaction, or the first entry of a term, which has no changes.
struct log_entry
{
    core::log_position position;
    core::time_point appendedAt; ///< start of the replication lag
    core::workspace_id workspace; ///< empty for the first entry of a term
    std::map<std::string, std::string> changes; ///< new values by key
    std::string idempotencyKey; ///< empty: none
    core::execute_answer answer; ///< returned again for a repeated idempotency key
};

/// A value and the index of the log entry that wrote it.
struct stored_value
{
    std::string value;
    core::log_index changedAt = 0;
};

using workspace_data = std::map<std::string, stored_value>;

/// A transaction with optimistic concurrency control: a commit fails if another transaction has
/// changed a key in `readVersions`, so the committed transactions are serializable.
struct open_transaction
{
    core::workspace_id workspace;
    std::map<std::string, std::string> written;
    std::map<std::string, core::log_index> readVersions; ///< version of each key at first use
};

/// Invariants: entry i of `log` has index i + 1; `appliedIndex` <= log.size(); the primary has
/// applied its whole log; `data` and `entryByIdempotencyKey` are the result of the first
/// `appliedIndex` entries.
struct member_model
{
    core::member_id member;
    core::group_id group;
    core::member_role role = core::member_role::Replica;
    core::term_number term = 0; ///< highest accepted term
    core::member_id following; ///< the primary of `term`; empty: none
    bool leaving = false;
    std::vector<std::shared_ptr<const log_entry>> log;
    core::log_index appliedIndex = 0;
    std::map<core::workspace_id, workspace_data> data;
    std::map<std::pair<core::workspace_id, std::string>, core::log_index> entryByIdempotencyKey;
    std::map<connection_number, open_transaction> transactions; ///< one per connection
};

struct execution
{
    core::execute_answer answer;
    bool hasRun = false; ///< false for a refusal and for a repeated idempotency key
};

/// @complexity constant
[[nodiscard]] core::member_status statusOf(const member_model &model);

/// @brief Executes a statement that arrived on a connection.
///
/// A repeated idempotency key gets the first answer. If that answer is of an earlier term, its
/// position becomes that of the first entry of the current term: a majority that holds this entry
/// also holds the earlier one, whereas an entry of an earlier term may still be truncated even if a
/// majority holds it.
/// @complexity logarithmic in the number of keys
execution execute(member_model &model, connection_number connection,
                  const core::execute_request &request, core::time_point now);

/// @brief Rolls back the connection's transaction, if any.
void closeConnection(member_model &model, connection_number connection);

/// @brief Accepts a term that is higher than any accepted one and rolls back all transactions.
core::accept_term_answer acceptTerm(member_model &model, core::term_number term);

/// @brief Makes the member the primary of its accepted term and appends the term's first entry.
/// Repeating the call changes nothing. Any other term is refused.
core::accept_term_answer lead(member_model &model, core::term_number term, core::time_point now);

/// @brief Makes the member a replica of @p primary in its accepted term. The call is refused for
/// any other term, and if the member is the primary of this term.
core::accept_term_answer follow(member_model &model, core::term_number term,
                                const core::member_id &primary);

/// @brief Copies the log of the primary that the replica follows, if both have the same term.
///
/// The diverging part of the replica's log is truncated first.
/// @param appendedUntil entries that the primary appended later are not copied yet
/// @return whether the replica's log changed
/// @complexity linear in the removed and copied entries; truncating applied entries is linear in
/// the whole log
bool copyLog(member_model &replica, const member_model &primary, core::time_point appendedUntil);

/// @brief Applies the log, and so makes it visible to reads, up to the newest entry that was
/// appended no later than @p appendedUntil.
void applyLog(member_model &model, core::time_point appendedUntil);

/// @return whether @p position is of the member's accepted term and its log reaches it
[[nodiscard]] bool holds(const member_model &model, const core::log_position &position);

} // namespace fuchsiagw::testing
