/// @file
/// @brief Checks of the guarantees that the soak verifies.

#include <fuchsiagw/testing/soak_history.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fuchsiagw::testing {

namespace {

using proxy::consistency;

constexpr std::size_t maxFindings = 50;
constexpr std::size_t maxPrintedBytes = 120;
constexpr std::chrono::seconds rateWindow{ 5 };
constexpr double rateLimitFactor = 1.1;
constexpr double rateToleranceOperations = 20;

/// @return the newest commit that a read must include
core::log_index requiredIndex(const soak_history &history, const sent_statement &sent)
{
    core::time_point acknowledgedBefore = sent.unitSentAt;
    if (sent.kind != consistency::Primary)
        acknowledgedBefore -= sent.maxStaleness;
    core::log_index required = sent.kind == consistency::ReadYourWrites ? sent.ownCommit : 0;
    const auto commits = history.acknowledged.find(sent.service);
    if (commits == history.acknowledged.end())
        return required;
    for (const acknowledged_commit &each : commits->second) {
        if (each.at < acknowledgedBefore)
            required = std::max(required, each.position.index);
    }
    return required;
}

std::string textOf(const caller_values &values)
{
    std::string text;
    for (const auto &[name, value] : values)
        text += fmt::format(" {}={}", printable(name), printable(value));
    return text;
}

std::string textOf(const member_answer &answer)
{
    std::string text =
            fmt::format("digest {} and {} rows", printable(answer.digest), answer.rows.size());
    for (const std::string &row : answer.rows)
        text += fmt::format(" '{}'", printable(row));
    return text;
}

std::size_t firstDifference(std::string_view left, std::string_view right)
{
    return static_cast<std::size_t>(
            std::mismatch(left.begin(), left.end(), right.begin(), right.end()).first
            - left.begin());
}

void checkText(soak_history &history, const member_execution &execution, const sent_statement &sent)
{
    if (execution.text != sent.text || execution.shape != sent.shape)
        report(history, soak_guarantee::OnlyAsked,
               fmt::format("{}: member {} executed '{}' [{}], the caller sent '{}' [{}]; the texts "
                           "differ from byte {}, the shapes from byte {}",
                           execution.id, execution.member, printable(execution.text),
                           printable(execution.shape), printable(sent.text), printable(sent.shape),
                           firstDifference(execution.text, sent.text),
                           firstDifference(execution.shape, sent.shape)));
    if (execution.workspace != sent.workspace || execution.service != sent.service)
        report(history, soak_guarantee::OnlyAsked,
               fmt::format("{}: executed for workspace {} at {}, sent for workspace {} at {}",
                           execution.id, execution.workspace, execution.service, sent.workspace,
                           sent.service));
    if (execution.values != sent.values)
        report(history, soak_guarantee::OneTransaction,
               fmt::format("{} of session {}: executed with session values{} at {}, expected{}",
                           execution.id, sent.session, textOf(execution.values), execution.member,
                           textOf(sent.values)));
    if (sent.sentAt > sent.keyEndsAt)
        report(history, soak_guarantee::KeysEnd,
               fmt::format("{}: executed at {} although its key is withdrawn", execution.id,
                           execution.member));
}

void checkTransaction(soak_history &history, const member_execution &execution,
                      const sent_statement &sent)
{
    // The proxy may run a single read inside a transaction that it opens itself.
    if ((execution.transaction == 0) == sent.inTransaction
        && (sent.inTransaction || sent.writes || execution.transaction == 0)) {
        report(history, soak_guarantee::OneTransaction,
               fmt::format("{}: sent {} a transaction, executed {} one at {}", execution.id,
                           sent.inTransaction ? "in" : "outside",
                           execution.transaction == 0 ? "outside" : "in", execution.member));
        return;
    }
    if (execution.transaction == 0)
        return;
    const auto firstUse = history.unitByTransaction.emplace(execution.transaction, sent.unit).first;
    if (firstUse->second != sent.unit)
        report(history, soak_guarantee::OneTransaction,
               fmt::format("{}: executed inside another caller's transaction at {}", execution.id,
                           execution.member));
    if (!sent.inTransaction)
        return;
    transaction_location &location =
            history.locationByUnit
                    .try_emplace(sent.unit,
                                 transaction_location{ execution.transaction, execution.id })
                    .first->second;
    if (location.transaction != execution.transaction && location.firstStatement != execution.id)
        report(history, soak_guarantee::OneTransaction,
               fmt::format(
                       "{} of session {}: executed in transaction {} at {}, its first statement {} "
                       "in {}",
                       execution.id, sent.session, execution.transaction, execution.member,
                       location.firstStatement, location.transaction));
    location.transaction = execution.transaction;
}

void checkRate(soak_history &history, const member_execution &execution, const sent_statement &sent)
{
    const auto limit = history.rateLimits.find(sent.workspace);
    if (limit == history.rateLimits.end() || limit->second.ratePerSecond == 0
        || !history.rateCountedUnits.insert(sent.unit).second)
        return;
    auto &starts = history.unitStarts[sent.workspace];
    starts.push_back(execution.executedAt);
    while (starts.front() < execution.executedAt - rateWindow)
        starts.pop_front();
    const double allowed = (limit->second.ratePerSecond * rateWindow.count() + limit->second.burst)
                                   * rateLimitFactor
                           + rateToleranceOperations;
    if (static_cast<double>(starts.size()) > allowed)
        report(history, soak_guarantee::RateLimit,
               fmt::format("{}: {} operations in {} s, the limit is {}", sent.workspace,
                           starts.size(), rateWindow.count(), allowed));
}

} // namespace

std::string printable(std::string_view bytes)
{
    std::string text;
    for (const char each : bytes.substr(0, maxPrintedBytes)) {
        const bool isPlain = each >= ' ' && each <= '~' && each != '\\';
        if (each == '\n')
            text += "\\n";
        else if (each == '\r')
            text += "\\r";
        else if (isPlain)
            text += each;
        else
            text += fmt::format("\\x{:02x}", static_cast<unsigned char>(each));
    }
    if (bytes.size() > maxPrintedBytes)
        text += fmt::format("... ({} bytes)", bytes.size());
    return text;
}

void report(soak_history &history, soak_guarantee guarantee, std::string text)
{
    if (history.findings.size() < maxFindings)
        history.findings.push_back({ guarantee, std::move(text) });
}

void onStatementSent(soak_history &history, const std::string &id, sent_statement statement)
{
    if (statement.writes)
        history.writesByUnit[statement.unit].insert(id);
    history.sentStatements.emplace(id, std::move(statement));
}

void onStatementExecuted(soak_history &history, const member_execution &execution)
{
    const auto found = history.sentStatements.find(execution.id);
    if (found == history.sentStatements.end()) {
        report(history, soak_guarantee::OnlyAsked,
               fmt::format("{}: member {} executed '{}', which no caller sent", execution.id,
                           execution.member, printable(execution.text)));
        return;
    }
    const sent_statement &sent = found->second;
    checkText(history, execution, sent);
    checkTransaction(history, execution, sent);
    checkRate(history, execution, sent);
    history.answers[execution.id].push_back(execution.answer);
    const core::log_index required = sent.writes ? 0 : requiredIndex(history, sent);
    if (execution.applied < required)
        report(history, soak_guarantee::Fresh,
               fmt::format(
                       "{}: {} read at {} saw entries up to {}, although entry {} was acknowledged",
                       execution.id, toString(sent.kind), execution.member, execution.applied,
                       required));
}

void onCommitted(soak_history &history, const std::vector<std::string> &writes)
{
    for (const std::string &id : writes) {
        if (++history.effects[id] > 1)
            report(history, soak_guarantee::OnceOnly, fmt::format("{}: committed twice", id));
        const auto sent = history.sentStatements.find(id);
        if (sent != history.sentStatements.end()
            && history.notAppliedUnits.contains(sent->second.unit))
            report(history, soak_guarantee::TrueRefusal,
                   fmt::format("{}: committed after its caller was told that it is not applied",
                               id));
    }
}

void onRolledBack(soak_history &history, const std::vector<std::string> &writes)
{
    for (const std::string &id : writes)
        --history.effects[id];
}

void onSuccess(soak_history &history, const std::string &id, const member_answer &answer,
               std::optional<core::log_position> commit, core::time_point now)
{
    const sent_statement &sent = history.sentStatements.at(id);
    const member_answer ownAnswer{ "-", {} };
    const auto &answers = history.answers[id];
    if (!sent.reachesMember && answer != ownAnswer)
        report(history, soak_guarantee::OwnAnswer,
               fmt::format("{}: answered with {}, although no member answers it", id,
                           textOf(answer)));
    if (!sent.reachesMember)
        return;
    if (answer.digest == ownAnswer.digest)
        report(history, soak_guarantee::OwnAnswer,
               fmt::format("{}: no member answered '{}'", id, printable(sent.text)));
    else if (std::find(answers.begin(), answers.end(), answer) == answers.end())
        report(history, soak_guarantee::OwnAnswer,
               fmt::format("{}: answered with {}, which no member returned; members returned {}",
                           id, textOf(answer),
                           answers.empty() ? std::string("nothing") : textOf(answers.back())));
    if (commit)
        history.acknowledged[sent.service].push_back({ now, *commit });
}

void onError(soak_history &history, const std::string &id, std::string_view code)
{
    // Callers execute only names whose preparing was acknowledged to them.
    if (code == "NOSTMT")
        report(history, soak_guarantee::OneTransaction,
               fmt::format(
                       "{}: the name of '{}' is unknown, although its preparing was acknowledged",
                       id, printable(history.sentStatements.at(id).text)));
}

void onReportedNotApplied(soak_history &history, std::uint64_t unit)
{
    history.notAppliedUnits.insert(unit);
    for (const std::string &id : history.writesByUnit[unit]) {
        if (history.effects[id] > 0)
            report(history, soak_guarantee::TrueRefusal,
                   fmt::format("{}: was committed, but its caller is told that it is not applied",
                               id));
    }
}

void onPromoted(soak_history &history, const std::string &service, const std::string &holder,
                std::uint64_t token,
                const std::function<bool(core::log_position)> &containsPosition)
{
    const auto first = history.tokenHolders.emplace(std::pair(service, token), holder).first;
    if (first->second != holder)
        report(history, soak_guarantee::OnePromoter,
               fmt::format("{}: fencing token {} is used by {} and {}", service, token,
                           first->second, holder));
    auto &commits = history.acknowledged[service];
    for (const acknowledged_commit &each : commits) {
        if (!containsPosition(each.position))
            report(history, soak_guarantee::NothingLost,
                   fmt::format("{}: acknowledged commit {}.{} is missing from the promoted log",
                               service, each.position.term, each.position.index));
    }
}

} // namespace fuchsiagw::testing
