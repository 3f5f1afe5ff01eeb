/// @file
/// @brief Checkers of requirements M1 to M13 over the history of a run.

#include <fuchsiagw/testing/gateway_world_history.hpp>

#include <fuchsiagw/core/token_bucket.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>

namespace fuchsiagw::testing {

using namespace core;

namespace {

using findings = std::vector<world_finding>;

std::string describeOperation(const caller_operation &operation, const std::string &text)
{
    return "operation " + std::to_string(operation.number) + " ("
           + std::string(toString(operation.request.kind)) + ", session "
           + std::to_string(operation.session) + "): " + text;
}

bool isAcknowledged(const caller_operation &operation)
{
    return operation.answer && !operation.answer->error;
}

bool isNotRun(const caller_operation &operation)
{
    return operation.answer && operation.answer->error
           && answerOf(*operation.answer->error).outcome == request_outcome::NotRun;
}

std::vector<std::uint64_t> rowItems(const caller_operation &operation)
{
    const auto &rows = operation.answer->rows;
    return rows.empty() || rows.front().empty() ? std::vector<std::uint64_t>{}
                                                : itemsOf(rows.front().front());
}

/// M1: a read of a session returns each write of the session that was acknowledged before the read
/// was sent.
void checkOwnWrites(const gateway_history &history, findings &found)
{
    for (const caller_operation &each : history.operations) {
        if (!isAcknowledged(each) || each.request.kind != statement_kind::Read || !each.isOwnData)
            continue;
        const auto own = history.acknowledged.find({ each.session, each.request.group });
        if (own == history.acknowledged.end())
            continue;
        const std::vector<std::uint64_t> items = rowItems(each);
        const std::set<std::uint64_t> seen(items.begin(), items.end());
        for (std::size_t i = 0; i < each.requiredItemCount; ++i) {
            if (seen.count(own->second[i]) == 0) {
                found.push_back({ requirement::M1,
                                  describeOperation(
                                          each, "misses item " + std::to_string(own->second[i])) });
                break;
            }
        }
    }
}

/// @return the acknowledged writes: single writes and the writes of committed transactions
std::vector<const caller_operation *> acknowledgedWrites(const gateway_history &history)
{
    std::set<std::uint64_t> committed;
    for (const caller_operation &each : history.operations) {
        if (isAcknowledged(each) && each.request.kind == statement_kind::Commit)
            committed.insert(each.transactionNumber);
    }
    std::vector<const caller_operation *> writes;
    for (const caller_operation &each : history.operations) {
        if (isAcknowledged(each) && each.request.kind == statement_kind::Write
            && (each.transactionNumber == 0 || committed.count(each.transactionNumber) != 0))
            writes.push_back(&each);
    }
    return writes;
}

std::vector<std::uint64_t> finalItems(const gateway_history &history,
                                      const caller_operation &operation)
{
    const auto group = history.finalData.find(operation.request.group);
    if (group == history.finalData.end())
        return {};
    const auto data = group->second.find(operation.workspace);
    if (data == group->second.end())
        return {};
    const auto stored = data->second.find(operation.request.parameters.front());
    return stored == data->second.end() ? std::vector<std::uint64_t>{}
                                        : itemsOf(stored->second.value);
}

/// M2: every acknowledged write is in the data of the last primary.
void checkNoLoss(const gateway_history &history, findings &found)
{
    for (const group_id &each : history.withoutPrimary)
        found.push_back({ requirement::M2, "group " + each.value + " has no primary at the end" });
    using data_key = std::pair<group_id, std::string>;
    std::map<data_key, std::set<std::uint64_t>> cache;
    for (const caller_operation *each : acknowledgedWrites(history)) {
        const data_key key{ each->request.group, each->request.parameters.front() };
        auto entry = cache.find(key);
        if (entry == cache.end()) {
            const auto items = finalItems(history, *each);
            entry = cache.emplace(key, std::set(items.begin(), items.end())).first;
        }
        if (entry->second.count(each->item) == 0)
            found.push_back({ requirement::M2, describeOperation(*each, "acknowledged but lost") });
    }
}

const caller_operation *operationOf(const gateway_history &history, const member_event &event)
{
    const std::uint64_t number = event.item;
    return number == 0 || number > history.operations.size() ? nullptr
                                                             : &history.operations[number - 1];
}

/// M3: while a transaction is open on a connection, only its statements run on that connection.
void checkTransactions(const gateway_history &history, findings &found)
{
    std::map<connection_number, std::uint64_t> open;
    for (const member_event &each : history.members) {
        if (each.isClose) {
            open.erase(each.connection);
            continue;
        }
        const caller_operation *operation = operationOf(history, each);
        if (!each.hasRun || operation == nullptr)
            continue;
        const auto entry = open.find(each.connection);
        const std::uint64_t openTransaction = entry == open.end() ? 0 : entry->second;
        const bool isBegin = each.request.kind == statement_kind::Begin;
        if (isBegin ? openTransaction != 0 : openTransaction != operation->transactionNumber)
            found.push_back(
                    { requirement::M3,
                      describeOperation(*operation, "ran on a connection of transaction "
                                                            + std::to_string(openTransaction)) });
        if (isBegin)
            open[each.connection] = operation->transactionNumber;
        else if (each.request.kind == statement_kind::Commit
                 || each.request.kind == statement_kind::Rollback)
            open.erase(each.connection);
    }
}

/// M4: a statement runs for the workspace of its key.
void checkWorkspace(const gateway_history &history, findings &found)
{
    for (const member_event &each : history.members) {
        const caller_operation *operation = operationOf(history, each);
        if (!each.isClose && operation != nullptr && each.request.workspace != operation->workspace)
            found.push_back(
                    { requirement::M4,
                      describeOperation(*operation,
                                        "ran for workspace " + each.request.workspace.value) });
    }
}

/// M5: no field of a request to a member contains a key.
void checkKeys(const gateway_history &history, findings &found)
{
    for (const member_event &each : history.members) {
        std::vector<std::string> fields = each.request.parameters;
        fields.insert(fields.end(), { each.request.workspace.value, each.request.statement,
                                      each.request.idempotencyKey });
        for (const std::string &field : fields) {
            const bool hasKey =
                    std::any_of(history.keys.begin(), history.keys.end(), [&](const auto &key) {
                        return field.find(key.first) != std::string::npos;
                    });
            if (hasKey)
                found.push_back({ requirement::M5,
                                  "item " + std::to_string(each.item) + " carries a key" });
        }
    }
}

/// M6: a key is refused once the lifetime of a freshness proof has passed since its withdrawal.
void checkWithdrawn(const gateway_history &history, findings &found)
{
    for (const caller_operation &each : history.operations) {
        const auto withdrawn = history.withdrawn.find(each.key);
        if (withdrawn == history.withdrawn.end() || each.arrivedAt == noDeadline || !each.answer
            || each.arrivedAt <= withdrawn->second + history.proofLifetime)
            continue;
        const auto error = each.answer->error;
        if (error != error_kind::KeyWithdrawn && error != error_kind::KeyUnproven
            && error != error_kind::KeyUnknown && error != error_kind::NotReady)
            found.push_back(
                    { requirement::M6, describeOperation(each, "accepted with a withdrawn key") });
    }
}

/// M7: one exact token bucket per workspace could have granted the same statements.
void checkRates(const gateway_history &history, findings &found)
{
    std::map<workspace_id, token_bucket> exact;
    for (const auto &[workspace, settings] : history.config.workspaces) {
        token_bucket &bucket = exact[workspace];
        bucket.rate = std::llround(settings.rate * static_cast<double>(oneToken));
        bucket.capacity = std::llround(settings.burst * static_cast<double>(oneToken));
        bucket.level = bucket.capacity;
    }
    for (const granted_statement &each : history.granted) {
        if (!take(exact[each.workspace], oneToken, each.at))
            found.push_back({ requirement::M7, "workspace " + each.workspace.value
                                                       + " got more than its rate and burst" });
    }
}

/// M8: each request has at most one answer, with the id and the rows of this request.
void checkAnswers(const gateway_history &history, findings &found)
{
    for (const caller_operation &each : history.operations) {
        if (each.replies > 1)
            found.push_back({ requirement::M8, describeOperation(each, "answered twice") });
        if (!each.answer)
            continue;
        if (each.answer->id != each.request.id)
            found.push_back(
                    { requirement::M8, describeOperation(each, "answer to another request") });
        if (each.answer->error)
            continue;
        const std::vector<std::uint64_t> items = rowItems(each);
        const bool isForeign = std::any_of(items.begin(), items.end(), [&](std::uint64_t item) {
            if (item == 0 || item > history.operations.size())
                return true;
            const statement_request &writer = history.operations[item - 1].request;
            return writer.parameters.front() != each.request.parameters.front()
                   || writer.group != each.request.group;
        });
        const bool lacksItem = each.request.kind == statement_kind::Write
                               && (items.empty() || items.back() != each.item);
        const bool hasUnexpectedRows = each.request.kind != statement_kind::Write
                                       && each.request.kind != statement_kind::Read
                                       && !each.answer->rows.empty();
        if (isForeign || lacksItem || hasUnexpectedRows)
            found.push_back(
                    { requirement::M8, describeOperation(each, "rows of another request") });
    }
}

/// M9: an item ran at no member if every attempt was answered `not_run`.
void checkNotRun(const gateway_history &history, findings &found)
{
    std::set<std::uint64_t> refused;
    for (const caller_operation &each : history.operations) {
        if (isNotRun(each))
            refused.insert(each.item);
    }
    for (const caller_operation &each : history.operations) {
        if (each.arrivedAt != noDeadline && !isNotRun(each))
            refused.erase(each.item);
    }
    for (const member_event &each : history.members) {
        if (each.hasRun && refused.count(each.item) != 0)
            found.push_back({ requirement::M9, describeOperation(history.operations[each.item - 1],
                                                                 "not_run, but ran") });
    }
}

bool changesData(statement_kind kind)
{
    return kind == statement_kind::Write || kind == statement_kind::Commit;
}

/// M10: a statement without an idempotency key runs at most once; one with a key takes effect at
/// most once.
void checkSingleEffect(const gateway_history &history, findings &found)
{
    std::map<std::uint64_t, unsigned> runs;
    for (const member_event &each : history.members) {
        const bool isLimited =
                each.request.idempotencyKey.empty() && changesData(each.request.kind);
        if (each.hasRun && isLimited && ++runs[each.item] == 2)
            found.push_back(
                    { requirement::M10, "item " + std::to_string(each.item) + " ran twice" });
    }
    for (const auto &[group, workspaces] : history.finalData) {
        for (const auto &[workspace, data] : workspaces) {
            for (const auto &[key, stored] : data) {
                const std::vector<std::uint64_t> items = itemsOf(stored.value);
                if (std::set(items.begin(), items.end()).size() != items.size())
                    found.push_back({ requirement::M10, "key " + key + " holds an item twice" });
            }
        }
    }
}

/// M11: a leaving member receives no new work. A transaction that began on a connection may
/// continue there, even if the member has dropped the transaction since.
void checkLeaving(const gateway_history &history, findings &found)
{
    std::set<std::pair<connection_number, std::uint64_t>> begun;
    for (const member_event &each : history.members) {
        const caller_operation *operation = operationOf(history, each);
        if (each.isClose || operation == nullptr)
            continue;
        const bool isBegin = each.request.kind == statement_kind::Begin;
        if (isBegin && each.hasRun)
            begun.emplace(each.connection, operation->transactionNumber);
        const bool isOld =
                !isBegin && begun.count({ each.connection, operation->transactionNumber }) != 0;
        if (each.wasSentWhileLeaving && !isOld)
            found.push_back({ requirement::M11, "member " + each.member.value + " got item "
                                                        + std::to_string(each.item)
                                                        + " while leaving" });
    }
}

/// M12: every accepted request is answered.
void checkAnswered(const gateway_history &history, findings &found)
{
    for (const caller_operation &each : history.operations) {
        if (each.arrivedAt != noDeadline && !each.isAnswerOptional && each.replies == 0)
            found.push_back(
                    { requirement::M12, describeOperation(each, "accepted but never answered") });
    }
}

/// M13: the version of a gateway never decreases, and every gateway ends with the newest version.
void checkVersions(const gateway_history &history, findings &found)
{
    std::map<std::pair<std::size_t, std::uint64_t>, configuration_version> newest;
    for (const version_record &each : history.versions) {
        configuration_version &known = newest[{ each.gateway, each.generation }];
        if (each.version < known)
            found.push_back({ requirement::M13, "gateway " + std::to_string(each.gateway)
                                                        + " went back to version "
                                                        + std::to_string(each.version) });
        known = std::max(known, each.version);
    }
    for (const auto &[gateway, version] : history.lastVersions) {
        if (version != history.config.version)
            found.push_back({ requirement::M13,
                              "gateway " + std::to_string(gateway) + " lacks the newest version" });
    }
}

} // namespace

std::vector<std::uint64_t> itemsOf(std::string_view value)
{
    std::vector<std::uint64_t> items;
    std::uint64_t number = 0;
    for (const char each : value) {
        if (each == ',') {
            items.push_back(number);
            number = 0;
        } else {
            number = number * 10 + static_cast<std::uint64_t>(each - '0');
        }
    }
    return items;
}

std::vector<world_finding> checkHistory(const gateway_history &history)
{
    findings found;
    for (const auto &check : { checkOwnWrites, checkNoLoss, checkTransactions, checkWorkspace,
                               checkKeys, checkWithdrawn, checkRates, checkAnswers, checkNotRun,
                               checkSingleEffect, checkLeaving, checkAnswered, checkVersions })
        check(history, found);
    return found;
}

} // namespace fuchsiagw::testing
