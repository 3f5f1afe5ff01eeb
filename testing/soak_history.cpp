/// @file
/// @brief Checks of the soak's promises.

#include <fuchsiagw/testing/soak_history.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fuchsiagw::testing {

namespace {

using proxy::consistency;

constexpr std::size_t mostFindings = 50;
constexpr std::chrono::seconds rateWindow{ 5 };
constexpr double rateOverage = 1.1;
constexpr double rateTolerance = 20; // operations

/// The newest commit that a read must see, rolled back ones left out.
core::log_index requiredIndex(const soak_history &history, const sent_statement &from)
{
    core::time_point before = from.unitSentAt;
    if (from.kind != consistency::Primary)
        before -= from.maxStaleness;
    core::log_index required = from.kind == consistency::ReadYourWrites ? from.ownCommit : 0;
    const auto list = history.acknowledged.find(from.service);
    if (list == history.acknowledged.end())
        return required;
    for (const acknowledged_commit &each : list->second) {
        if (each.at < before)
            required = std::max(required, each.position.index);
    }
    return required;
}

std::string textOf(const caller_values &values)
{
    std::string text;
    for (const auto &[name, value] : values)
        text += fmt::format(" {}={}", name, value);
    return text;
}

void checkText(soak_history &history, const member_execution &run, const sent_statement &from)
{
    if (run.text != from.text || run.shape != from.shape)
        report(history, soak_promise::OnlyAsked,
               fmt::format("{}: member {} ran '{}' [{}], asked '{}' [{}]", run.id, run.member,
                           run.text, run.shape, from.text, from.shape));
    if (run.workspace != from.workspace || run.service != from.service)
        report(history, soak_promise::OnlyAsked,
               fmt::format("{}: ran as {} at {}, asked as {} at {}", run.id, run.workspace,
                           run.service, from.workspace, from.service));
    if (run.values != from.values)
        report(history, soak_promise::OneTransaction,
               fmt::format("{} of session {}: ran with values{} at {}, asked with{}", run.id,
                           from.session, textOf(run.values), run.member, textOf(from.values)));
    if (from.sentAt > from.keyEndsAt)
        report(history, soak_promise::KeysEnd,
               fmt::format("{}: ran at {} with a withdrawn key", run.id, run.member));
}

void checkPlace(soak_history &history, const member_execution &run, const sent_statement &from)
{
    // A read may run inside a transaction of the proxy's own.
    if ((run.transaction == 0) == from.inTransaction
        && (from.inTransaction || from.writes || run.transaction == 0)) {
        report(history, soak_promise::OneTransaction,
               fmt::format("{}: asked {} a transaction, ran {} one at {}", run.id,
                           from.inTransaction ? "in" : "outside",
                           run.transaction == 0 ? "outside" : "in", run.member));
        return;
    }
    if (run.transaction == 0)
        return;
    const auto owner = history.unitOf.emplace(run.transaction, from.unit).first;
    if (owner->second != from.unit)
        report(history, soak_promise::OneTransaction,
               fmt::format("{}: ran inside another caller's transaction at {}", run.id,
                           run.member));
    if (!from.inTransaction)
        return;
    transaction_place &place =
            history.placeOf.try_emplace(from.unit, transaction_place{ run.transaction, run.id })
                    .first->second;
    if (place.transaction != run.transaction && place.first != run.id)
        report(history, soak_promise::OneTransaction,
               fmt::format("{} of session {}: ran in transaction {} at {}, its first statement {} "
                           "in {}",
                           run.id, from.session, run.transaction, run.member, place.first,
                           place.transaction));
    place.transaction = run.transaction;
}

void checkRate(soak_history &history, const member_execution &run, const sent_statement &from)
{
    const auto allowance = history.rateLimits.find(from.workspace);
    if (allowance == history.rateLimits.end() || allowance->second.ratePerSecond == 0
        || !history.countedUnits.insert(from.unit).second)
        return;
    auto &started = history.startedUnits[from.workspace];
    started.push_back(run.now);
    while (started.front() < run.now - rateWindow)
        started.pop_front();
    const double allowed =
            (allowance->second.ratePerSecond * rateWindow.count() + allowance->second.burst)
                    * rateOverage
            + rateTolerance;
    if (static_cast<double>(started.size()) > allowed)
        report(history, soak_promise::RateLimit,
               fmt::format("{}: {} operations in {} s, {} are allowed", from.workspace,
                           started.size(), rateWindow.count(), allowed));
}

} // namespace

void report(soak_history &history, soak_promise promise, std::string text)
{
    if (history.findings.size() < mostFindings)
        history.findings.push_back({ promise, std::move(text) });
}

void onStatementSent(soak_history &history, const std::string &id, sent_statement statement)
{
    if (statement.writes)
        history.writesOf[statement.unit].insert(id);
    history.asked.emplace(id, std::move(statement));
}

void onStatementExecuted(soak_history &history, const member_execution &run)
{
    const auto found = history.asked.find(run.id);
    if (found == history.asked.end()) {
        report(history, soak_promise::OnlyAsked,
               fmt::format("{}: member {} ran '{}', nobody asked", run.id, run.member, run.text));
        return;
    }
    const sent_statement &from = found->second;
    checkText(history, run, from);
    checkPlace(history, run, from);
    checkRate(history, run, from);
    history.answers[run.id].emplace_back(run.digest, run.row);
    const core::log_index required = from.writes ? 0 : requiredIndex(history, from);
    if (run.applied < required)
        report(history, soak_promise::Fresh,
               fmt::format("{}: {} read at {} up to entry {}, entry {} was acknowledged", run.id,
                           toString(from.kind), run.member, run.applied, required));
}

void onCommitted(soak_history &history, const std::vector<std::string> &writes)
{
    for (const std::string &id : writes) {
        if (++history.effects[id] > 1)
            report(history, soak_promise::OnceOnly, fmt::format("{}: took effect twice", id));
        const auto from = history.asked.find(id);
        if (from != history.asked.end() && history.refusedUnits.contains(from->second.unit))
            report(history, soak_promise::TrueRefusal,
                   fmt::format("{}: kept after its caller was told that it is not", id));
    }
}

void onRolledBack(soak_history &history, const std::vector<std::string> &writes)
{
    for (const std::string &id : writes)
        --history.effects[id];
}

void onSuccess(soak_history &history, const std::string &id, const std::string &digest,
               const std::string &row, std::optional<core::log_position> commit,
               core::time_point now)
{
    if (digest == "-")
        return;
    const auto &list = history.answers[id];
    if (std::find(list.begin(), list.end(), std::pair(digest, row)) == list.end())
        report(history, soak_promise::OwnAnswer,
               fmt::format("{}: answered with digest {} and row '{}' of no member", id, digest,
                           row));
    if (commit)
        history.acknowledged[history.asked.at(id).service].push_back({ now, *commit });
}

void onReportedNotApplied(soak_history &history, std::uint64_t unit)
{
    history.refusedUnits.insert(unit);
    for (const std::string &id : history.writesOf[unit]) {
        if (history.effects[id] > 0)
            report(history, soak_promise::TrueRefusal,
                   fmt::format("{}: was kept, its caller is told that it is not", id));
    }
}

void onPromoted(soak_history &history, const std::string &service, const std::string &holder,
                std::uint64_t token, const std::function<bool(core::log_position)> &holds)
{
    const auto first = history.holders.emplace(std::pair(service, token), holder).first;
    if (first->second != holder)
        report(history, soak_promise::OnePromoter,
               fmt::format("{}: token {} of {} and {}", service, token, first->second, holder));
    auto &list = history.acknowledged[service];
    for (const acknowledged_commit &each : list) {
        if (!holds(each.position))
            report(history, soak_promise::NothingLost,
                   fmt::format("{}: commit {}.{} was acknowledged and is not in the promoted log",
                               service, each.position.term, each.position.index));
    }
}

} // namespace fuchsiagw::testing
