/// @file
/// @brief Statements, transactions, terms and log of the member model.

#include <fuchsiagw/testing/member_model.hpp>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace fuchsiagw::testing {

namespace {

using core::execute_status;
using core::member_role;
using core::statement_kind;

constexpr std::string_view wrongTerm = "the term is not the accepted one";
constexpr std::string_view notPrimary = "this member is not the primary";
constexpr std::string_view noTransaction = "the connection has no transaction";

core::log_position positionAt(const member_model &model, core::log_index index)
{
    return index == 0 ? core::log_position{} : model.log[index - 1]->position;
}

/// Data that a command sees: the writes of its transaction over the workspace's data.
struct transaction_view
{
    const workspace_data &data;
    open_transaction &transaction;

    std::optional<std::string> read(const std::string &key)
    {
        const auto stored = data.find(key);
        transaction.readVersions.try_emplace(key,
                                             stored == data.end() ? 0 : stored->second.changedAt);
        const auto written = transaction.written.find(key);
        if (written != transaction.written.end())
            return written->second;
        if (stored == data.end())
            return std::nullopt;
        return stored->second.value;
    }
};

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return number;
}

/// Removes the first word and the space after it from @p rest.
/// @return the word
std::string_view takeWord(std::string_view &rest)
{
    const std::string_view word = rest.substr(0, rest.find(' '));
    rest.remove_prefix(std::min(rest.size(), word.size() + 1));
    return word;
}

/// @return parameter N if @p text is `$N`, else @p text; nothing if parameter N is missing
std::optional<std::string> valueOf(std::string_view text,
                                   const std::vector<std::string> &parameters)
{
    if (!text.starts_with('$'))
        return std::string(text);
    const auto number = parseNumber(text.substr(1));
    if (!number.has_value() || *number < 1
        || static_cast<std::uint64_t>(*number) > parameters.size())
        return std::nullopt;
    return parameters[static_cast<std::size_t>(*number) - 1];
}

void fail(core::execute_answer &answer, std::string_view problem)
{
    answer.status = execute_status::Failed;
    answer.problem = problem;
    answer.rows.clear();
}

/// Executes a command that changes its key; puts the new value into the transaction and the answer.
void runWrite(std::string_view command, const std::string &key, const std::string &operand,
              transaction_view view, core::execute_answer &answer)
{
    const std::string old = view.read(key).value_or("");
    std::string value = operand;
    if (command == "append") {
        value = old + operand;
    } else if (command == "add") {
        const auto left = parseNumber(old.empty() ? "0" : old);
        const auto right = parseNumber(operand);
        std::int64_t sum = 0;
        if (!left.has_value() || !right.has_value()
            || __builtin_add_overflow(*left, *right, &sum)) {
            fail(answer, "add needs two numbers whose sum has 64 bits");
            return;
        }
        value = std::to_string(sum);
    }
    view.transaction.written[key] = value;
    answer.rows = { { value } };
}

void runCommand(const core::execute_request &request, transaction_view view,
                core::execute_answer &answer)
{
    std::string_view rest = request.statement;
    const std::string_view command = takeWord(rest);
    const auto key = valueOf(takeWord(rest), request.parameters);
    const auto operand = valueOf(rest, request.parameters);
    const bool isWriteCommand = command == "set" || command == "add" || command == "append";
    if (command == "fail") {
        fail(answer, "the command is 'fail'");
    } else if (!isWriteCommand && command != "get") {
        fail(answer, "unknown command");
    } else if (!key.has_value() || key->empty() || !operand.has_value()) {
        fail(answer, "the key or a parameter is missing");
    } else if (isWriteCommand && request.kind == statement_kind::Read) {
        fail(answer, "a read must not change data");
    } else if (isWriteCommand) {
        runWrite(command, *key, *operand, view, answer);
    } else if (const auto value = view.read(*key)) {
        answer.rows = { { *value } };
    }
}

void apply(member_model &model, core::log_index upTo)
{
    for (; model.appliedIndex < upTo; ++model.appliedIndex) {
        const log_entry &entry = *model.log[model.appliedIndex];
        for (const auto &[key, value] : entry.changes)
            model.data[entry.workspace][key] = { value, entry.position.index };
        if (!entry.idempotencyKey.empty())
            model.entryByIdempotencyKey.try_emplace({ entry.workspace, entry.idempotencyKey },
                                                    entry.position.index);
    }
}

/// @pre the member is the primary
void append(member_model &model, log_entry entry)
{
    assert(model.role == member_role::Primary && model.appliedIndex == model.log.size());
    entry.position = { model.term, model.log.size() + 1 };
    entry.answer.position = entry.position;
    entry.answer.applied = entry.position;
    model.log.push_back(std::make_shared<const log_entry>(std::move(entry)));
    apply(model, model.log.size());
}

/// Appends the transaction's writes as one log entry; fails if another transaction has changed a
/// key that this one used.
void commit(member_model &model, const open_transaction &transaction,
            const core::execute_request &request, core::time_point now,
            core::execute_answer &answer)
{
    const workspace_data &data = model.data[transaction.workspace];
    const bool isUnchanged = std::all_of(
            transaction.readVersions.begin(), transaction.readVersions.end(),
            [&data](const auto &version) {
                const auto stored = data.find(version.first);
                return version.second == (stored == data.end() ? 0 : stored->second.changedAt);
            });
    if (!isUnchanged) {
        fail(answer, "another transaction changed the same keys");
        return;
    }
    append(model, { .position = {},
                    .appendedAt = now,
                    .workspace = transaction.workspace,
                    .changes = transaction.written,
                    .idempotencyKey = request.idempotencyKey,
                    .answer = answer });
    answer = model.log.back()->answer;
}

/// @return why the request is refused; empty if it may run
std::string_view refusalReason(const member_model &model, const core::execute_request &request,
                               const open_transaction *transaction)
{
    const bool isPrimary = model.role == member_role::Primary;
    if (request.term != model.term)
        return wrongTerm;
    if (request.kind == statement_kind::Write && !isPrimary)
        return notPrimary;
    if (transaction != nullptr && transaction->workspace != request.workspace)
        return "the connection's transaction belongs to another workspace";
    if (request.kind == statement_kind::Begin && transaction != nullptr)
        return "the connection already has a transaction";
    if ((request.kind == statement_kind::Commit || request.kind == statement_kind::Rollback)
        && transaction == nullptr)
        return noTransaction;
    return {};
}

const log_entry *findRepeatedEntry(const member_model &model, const core::execute_request &request)
{
    if (request.idempotencyKey.empty() || request.term != model.term
        || model.role != member_role::Primary)
        return nullptr;
    const auto found =
            model.entryByIdempotencyKey.find({ request.workspace, request.idempotencyKey });
    return found == model.entryByIdempotencyKey.end() ? nullptr
                                                      : model.log[found->second - 1].get();
}

/// @return the position of the first entry of the current term
/// @pre the member is the primary of this term, so the entry exists
core::log_position firstPositionOfTerm(const member_model &model)
{
    const auto found =
            std::partition_point(model.log.begin(), model.log.end(), [&model](const auto &entry) {
                return entry->position.term < model.term;
            });
    assert(found != model.log.end());
    return (*found)->position;
}

core::accept_term_answer makeTermAnswer(const member_model &model, bool accepted)
{
    return { accepted, statusOf(model) };
}

} // namespace

core::member_status statusOf(const member_model &model)
{
    return { model.member,
             model.group,
             model.role,
             model.term,
             positionAt(model, model.log.size()),
             positionAt(model, model.appliedIndex),
             model.leaving };
}

execution execute(member_model &model, connection_number connection,
                  const core::execute_request &request, core::time_point now)
{
    execution result;
    core::execute_answer &answer = result.answer;
    const auto finish = [&model, &request, &result]() -> execution & {
        result.answer.id = request.id;
        result.answer.applied = positionAt(model, model.appliedIndex);
        result.answer.term = model.term;
        return result;
    };

    const auto open = model.transactions.find(connection);
    const bool isOpen = open != model.transactions.end();
    const bool isAutocommit = request.kind == statement_kind::Write && !isOpen;
    if (isAutocommit || request.kind == statement_kind::Commit) {
        if (const log_entry *first = findRepeatedEntry(model, request)) {
            answer = first->answer;
            answer.position = std::max(answer.position, firstPositionOfTerm(model));
            return finish();
        }
    }
    if (const auto problem = refusalReason(model, request, isOpen ? &open->second : nullptr);
        !problem.empty()) {
        answer.status = execute_status::Refused;
        answer.problem = problem;
        return finish();
    }

    result.hasRun = true;
    switch (request.kind) {
    case statement_kind::Begin:
        model.transactions[connection].workspace = request.workspace;
        break;
    case statement_kind::Rollback:
        model.transactions.erase(open);
        break;
    case statement_kind::Commit: {
        const open_transaction ended = std::move(open->second);
        model.transactions.erase(open);
        if (!ended.written.empty())
            commit(model, ended, request, now, answer);
        break;
    }
    case statement_kind::Read:
    case statement_kind::Write: {
        open_transaction single{ request.workspace, {}, {} };
        open_transaction &transaction = isOpen ? open->second : single;
        runCommand(request, { model.data[request.workspace], transaction }, answer);
        if (answer.status == execute_status::Ok && isAutocommit)
            commit(model, single, request, now, answer);
        break;
    }
    }
    return finish();
}

void closeConnection(member_model &model, connection_number connection)
{
    model.transactions.erase(connection);
}

core::accept_term_answer acceptTerm(member_model &model, core::term_number term)
{
    if (term <= model.term)
        return makeTermAnswer(model, false);
    model.term = term;
    model.role = member_role::Replica;
    model.following = {};
    model.transactions.clear();
    return makeTermAnswer(model, true);
}

core::accept_term_answer lead(member_model &model, core::term_number term, core::time_point now)
{
    const bool isFollowing = !model.following.empty();
    if (term == 0 || term != model.term || isFollowing)
        return makeTermAnswer(model, false);
    if (model.role != member_role::Primary) {
        model.role = member_role::Primary;
        model.transactions.clear();
        apply(model, model.log.size());
        log_entry first;
        first.appendedAt = now;
        append(model, std::move(first));
    }
    return makeTermAnswer(model, true);
}

core::accept_term_answer follow(member_model &model, core::term_number term,
                                const core::member_id &primary)
{
    const bool followsOther = !model.following.empty() && model.following != primary;
    if (term == 0 || term != model.term || model.role == member_role::Primary || followsOther
        || primary.empty() || primary == model.member)
        return makeTermAnswer(model, false);
    model.following = primary;
    return makeTermAnswer(model, true);
}

bool copyLog(member_model &replica, const member_model &primary, core::time_point appendedUntil)
{
    if (replica.role == member_role::Primary || primary.role != member_role::Primary
        || replica.term != primary.term || replica.following != primary.member)
        return false;
    // If two entries have the same position, they and all entries before them are the same: a term
    // has one primary, and a primary never rewrites its log.
    std::size_t commonLength = std::min(replica.log.size(), primary.log.size());
    while (commonLength > 0
           && replica.log[commonLength - 1]->position != primary.log[commonLength - 1]->position)
        --commonLength;
    bool hasChanged = false;
    if (replica.log.size() > commonLength) {
        hasChanged = true;
        replica.log.resize(commonLength);
        if (replica.appliedIndex > commonLength) {
            replica.data.clear();
            replica.entryByIdempotencyKey.clear();
            replica.transactions.clear();
            replica.appliedIndex = 0;
            apply(replica, commonLength);
        }
    }
    while (replica.log.size() < primary.log.size()
           && primary.log[replica.log.size()]->appendedAt <= appendedUntil) {
        replica.log.push_back(primary.log[replica.log.size()]);
        hasChanged = true;
    }
    return hasChanged;
}

void applyLog(member_model &model, core::time_point appendedUntil)
{
    core::log_index upTo = model.appliedIndex;
    while (upTo < model.log.size() && model.log[upTo]->appendedAt <= appendedUntil)
        ++upTo;
    apply(model, upTo);
}

bool holds(const member_model &model, const core::log_position &position)
{
    return model.term == position.term && positionAt(model, model.log.size()) >= position;
}

} // namespace fuchsiagw::testing
