/// @file
/// @brief Group owner: transactions. Each is bound to one connection and ends with it.

#include <fuchsiagw/core/group_owner.hpp>
#include <fuchsiagw/detail/owner_steps.hpp>

#include <cassert>

namespace fuchsiagw::detail {

using namespace core;

namespace {

bool startsTransaction(const statement_request &request)
{
    return request.kind == statement_kind::Begin;
}

bool endsTransaction(const statement_request &request)
{
    return request.kind == statement_kind::Commit || request.kind == statement_kind::Rollback;
}

} // namespace

void startTransactionStatement(owner_context &context, std::uint64_t handle)
{
    group_owner &owner = context.owner;
    owned_statement &statement = owner.statements.at(handle);
    const transaction_id id = *statement.request.transaction;
    const auto entry = owner.transactions.find(id.number);
    if (id.owner != owner.incarnation || entry == owner.transactions.end()) {
        failStatement(context, handle, error_kind::TransactionUnknown);
        return;
    }
    owned_transaction &transaction = entry->second;
    if (transaction.workspace != statement.request.workspace) {
        failStatement(context, handle, error_kind::TransactionForeign);
        return;
    }
    if (transaction.isBusy) {
        failStatement(context, handle, error_kind::TransactionBusy);
        return;
    }
    transaction.isBusy = true;
    // The statement carries the term of the transaction's begin. A member that has accepted a later
    // term refuses it.
    statement.route.member = transaction.member;
    statement.route.reason = route_reason::PrimaryRequired;
    statement.route.term = transaction.term;
    statement.route.fromReplica = false;
    context.actions.emplace_back(route_decided{ handle, statement.request.id,
                                                statement.request.workspace, statement.request.kind,
                                                statement.route });
    sendOnConnection(context, handle, transaction.connection);
}

std::optional<std::uint64_t> finishTransactionStatement(owner_context &context,
                                                        const owned_statement &statement,
                                                        connection_id id, bool succeeded)
{
    group_owner &owner = context.owner;
    const auto connection = owner.pool.connections.find(id);
    if (connection == owner.pool.connections.end())
        return std::nullopt;
    const time_point idleUntil = context.now + owner.limits.transactionIdleTimeout;
    if (startsTransaction(statement.request)) {
        if (!succeeded)
            return std::nullopt;
        const std::uint64_t number = owner.nextTransaction++;
        owner.transactions[number] = {
            statement.request.workspace, id,    connection->second.member,
            statement.progress.term,     false, idleUntil
        };
        connection->second.transaction = number;
    }
    const std::uint64_t number = connection->second.transaction;
    const auto transaction = owner.transactions.find(number);
    if (transaction == owner.transactions.end())
        return std::nullopt;
    const bool continues = succeeded && !endsTransaction(statement.request);
    if (!continues) {
        owner.transactions.erase(transaction);
        connection->second.transaction = 0;
        // Closing the connection makes the member roll back the failed transaction.
        if (!succeeded)
            discardConnection(context, id);
        return std::nullopt;
    }
    assert(transaction->second.connection == id);
    transaction->second.isBusy = false;
    transaction->second.idleUntil = idleUntil;
    endMemberExchange(owner, connection->second);
    connection->second.state = connection_state::Reserved;
    connection->second.statement = 0;
    return number;
}

void rollBackIdleTransactions(owner_context &context)
{
    std::vector<connection_id> overdue;
    for (const auto &[number, transaction] : context.owner.transactions) {
        if (!transaction.isBusy && transaction.idleUntil <= context.now)
            overdue.push_back(transaction.connection);
    }
    for (const connection_id id : overdue)
        discardConnection(context, id);
}

} // namespace fuchsiagw::detail
