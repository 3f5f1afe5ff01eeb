/// @file
/// @brief Behaviour of a member of a database group (section 6.1 of the design), without I/O.
///
/// A statement is one command: `get KEY`, `set KEY VALUE`, `add KEY NUMBER`, `append KEY TEXT`, or
/// `fail`, which runs and fails. KEY and the value may be `$1`, `$2`... for a parameter. Each
/// workspace has its own keys. Outside a transaction a statement commits by itself.

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
    core::time_point appendedAt; ///< the replication lag counts from here
    core::workspace_id workspace; ///< empty for the first entry of a term
    std::map<std::string, std::string> changes; ///< new values by key
    std::string idempotencyKey; ///< empty: none
    core::execute_answer answer; ///< the first answer, given again to a repeat
};

/// A value and the index of the entry that wrote it.
struct stored_value
{
    std::string value;
    core::log_index changedAt = 0;
};

using workspace_data = std::map<std::string, stored_value>;

/// Statements since `begin`. A commit fails if a key in `seen` has been changed by others, so the
/// committed transactions are serializable.
struct open_transaction
{
    core::workspace_id workspace;
    std::map<std::string, std::string> written;
    std::map<std::string, core::log_index> seen; ///< last change of each key at its first use
};

/// Invariants: entry i of `log` has index i + 1; `appliedIndex` <= log.size(); the primary has
/// applied its whole log; `data` and `entryOfKey` are what the first `appliedIndex` entries give.
struct member_model
{
    core::member_id member;
    core::group_id group;
    core::member_role role = core::member_role::Replica;
    core::term_number term = 0; ///< the highest term that it has accepted
    core::member_id following; ///< the primary of `term`; empty: none
    bool leaving = false;
    std::vector<std::shared_ptr<const log_entry>> log;
    core::log_index appliedIndex = 0;
    std::map<core::workspace_id, workspace_data> data;
    std::map<std::pair<core::workspace_id, std::string>, core::log_index> entryOfKey;
    std::map<connection_number, open_transaction> transactions; ///< one per connection
};

struct execution
{
    core::execute_answer answer;
    bool hasRun = false; ///< false for a refusal and for the repeat of an idempotency key
};

/// @complexity constant
[[nodiscard]] core::member_status statusOf(const member_model &model);

/// @brief Runs one statement that came over a connection.
///
/// A repeat of an idempotency key gets the first answer. If that answer is of an earlier term, its
/// position is that of the first entry of the current term: a majority that holds this entry also
/// holds the repeated one, whereas an entry of an earlier term may still be truncated although a
/// majority holds it.
/// @complexity logarithmic in the number of keys
execution execute(member_model &model, connection_number connection,
                  const core::execute_request &request, core::time_point now);

/// @brief Rolls back the connection's transaction, if any.
void closeConnection(member_model &model, connection_number connection);

/// @brief Accepts a term that is higher than any accepted one and rolls back all transactions.
core::accept_term_answer acceptTerm(member_model &model, core::term_number term);

/// @brief Makes the member the primary of its accepted term and appends the term's first entry.
/// A repeat changes nothing. Any other term is refused.
core::accept_term_answer lead(member_model &model, core::term_number term, core::time_point now);

/// @brief Makes the member a replica of @p primary in its accepted term. Any other term is refused,
/// and so is the primary of this term.
core::accept_term_answer follow(member_model &model, core::term_number term,
                                const core::member_id &primary);

/// @brief Copies the log of the primary that the replica follows, if both have the same term.
///
/// The part of the replica's log that diverges is truncated first.
/// @param appendedBy entries that the primary appended later are not copied yet
/// @return whether the replica's log changed
/// @complexity linear in the entries that are removed or copied; a truncation of applied entries
/// is linear in the whole log
bool copyLog(member_model &replica, const member_model &primary, core::time_point appendedBy);

/// @brief Makes the log visible to reads, up to the newest entry appended by @p appendedBy.
void applyLog(member_model &model, core::time_point appendedBy);

/// @brief Tells whether the member has the log up to @p position under its accepted term.
[[nodiscard]] bool holds(const member_model &model, const core::log_position &position);

} // namespace fuchsiagw::testing
