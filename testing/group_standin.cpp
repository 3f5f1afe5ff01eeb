/// @file
/// @brief Replication, history and fault port of the stand-in for a database group.

#include <utility>

#include <fuchsiagw/testing/group_standin.hpp>

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace fuchsiagw::testing {

namespace {

using core::error_kind;

constexpr core::term_number firstTerm = 1;
constexpr std::string_view historyRoute = "/history";
constexpr std::string_view historyQuery = "/history?after=";

/// @return N for `/history?after=N`, 0 for `/history`, nothing for any other target
std::optional<std::uint64_t> parseHistoryTarget(std::string_view target)
{
    if (target == historyRoute)
        return 0;
    if (!target.starts_with(historyQuery))
        return std::nullopt;
    target.remove_prefix(historyQuery.size());
    std::uint64_t after = 0;
    const auto [stop, error] = std::from_chars(target.data(), target.data() + target.size(), after);
    if (error != std::errc{} || stop != target.data() + target.size())
        return std::nullopt;
    return after;
}

} // namespace

group_standin::group_standin(boost::asio::io_context &context, group_standin_settings settings)
    : context_(context)
    , settings_(std::move(settings))
    , random_(settings_.seed)
    , faultServer_(context, settings_.faultPort,
                   [this](net::http_request &&request, connection_number connection) {
                       faultServer_.answer(connection, respond(request));
                   },
                   {})
{
    for (std::uint32_t i = 0; i < settings_.members; ++i) {
        members_.push_back(std::make_unique<standin_member>(context_, settings_, i, makeHooks()));
        replications_.emplace_back(context_);
        drawReplicationLag(i);
    }
    const core::time_point now = net::currentTime();
    for (const auto &each : members_) {
        acceptTerm(each->model, firstTerm);
        if (each == members_.front())
            lead(each->model, firstTerm, now);
        else
            follow(each->model, firstTerm, members_.front()->model.member);
    }
}

std::error_code group_standin::start()
{
    for (const auto &each : members_) {
        if (const auto error = each->start())
            return error;
    }
    replicateAll();
    return faultServer_.start();
}

group_description group_standin::describe() const
{
    group_description description;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        description.members.push_back(
                { i < settings_.zones.size() ? settings_.zones[i] : core::zone_name{},
                  net::toString(members_[i]->address()), statusOf(members_[i]->model) });
    }
    return description;
}

std::error_code group_standin::setFault(const member_fault_request &request)
{
    const auto found = std::find_if(members_.begin(), members_.end(), [&request](const auto &each) {
        return each->model.member == request.member;
    });
    if (found == members_.end())
        return error_kind::InvalidValue;
    const auto error = (*found)->setFault(request.kind, request.on, request.value);
    replicateAll();
    return error;
}

statement_history group_standin::history(std::uint64_t after) const
{
    statement_history result;
    result.newest = newestStatement_;
    const auto first = std::partition_point(
            history_.begin(), history_.end(),
            [after](const executed_statement &each) { return each.number <= after; });
    result.statements.assign(first, history_.end());
    return result;
}

member_hooks group_standin::makeHooks()
{
    member_hooks hooks;
    hooks.statementReceived = [this] { ++counters_.received; };
    hooks.acquireConnection = [this] {
        if (counters_.connections >= settings_.connections) {
            ++counters_.refusedConnections;
            return false;
        }
        ++counters_.connections;
        counters_.peakConnections = std::max(counters_.peakConnections, counters_.connections);
        return true;
    };
    hooks.releaseConnection = [this] { --counters_.connections; };
    hooks.record = [this](executed_statement &&entry) {
        entry.number = ++newestStatement_;
        counters_.executed += entry.hasRun ? 1 : 0;
        history_.push_back(std::move(entry));
        if (history_.size() > settings_.historyLimit)
            history_.pop_front();
    };
    hooks.logChanged = [this] { replicateAll(); };
    return hooks;
}

void group_standin::replicateAll()
{
    for (std::size_t i = 0; i < members_.size(); ++i)
        replicate(i);
}

void group_standin::replicate(std::size_t index)
{
    standin_member &member = *members_[index];
    replication &state = replications_[index];
    const core::time_point now = net::currentTime();
    const core::duration lag = member.lagOverride().value_or(state.lag);
    const standin_member *source = replicationSourceOf(member);
    if (source != nullptr && copyLog(member.model, source->model, now - lag))
        drawReplicationLag(index);
    applyLog(member.model, now - lag - settings_.applyLag);
    member.answerWaits();

    const member_model &model = member.model;
    const core::duration nextLag = member.lagOverride().value_or(state.lag);
    core::time_point next = core::noDeadline;
    if (source != nullptr && model.log.size() < source->model.log.size())
        next = source->model.log[model.log.size()]->appendedAt + nextLag;
    if (model.appliedIndex < model.log.size())
        next = std::min(next,
                        model.log[model.appliedIndex]->appendedAt + nextLag + settings_.applyLag);
    if (next == core::noDeadline)
        return;
    state.timer.expires_at(net::toSteady(next));
    state.timer.async_wait([this, index](const boost::system::error_code &error) {
        if (!error)
            replicate(index);
    });
}

void group_standin::drawReplicationLag(std::size_t index)
{
    constexpr std::uint64_t minimum = 500; // thousandths of the mean
    constexpr std::uint64_t range = 1000;
    const auto factor = static_cast<std::int64_t>(minimum + core::drawBelow(random_, range + 1));
    replications_[index].lag = settings_.lag * factor / 1000;
}

const standin_member *group_standin::replicationSourceOf(const standin_member &replica) const
{
    const auto found = std::find_if(members_.begin(), members_.end(), [&replica](const auto &each) {
        return each->model.member == replica.model.following;
    });
    const bool areConnected = found != members_.end() && replica.isReachableByMembers()
                              && (*found)->isReachableByMembers();
    // copyLog() requires a source that is the primary of the replica's term.
    if (!areConnected || (*found)->model.role != core::member_role::Primary
        || (*found)->model.term != replica.model.term)
        return nullptr;
    return found->get();
}

net::http_response group_standin::respond(const net::http_request &request)
{
    const bool isGet = request.method == "GET";
    if (request.target == "/fault" && request.method == "POST") {
        member_fault_request parsed;
        std::error_code error = fromJson(request.body, parsed);
        if (!error)
            error = setFault(parsed);
        return error ? errorResponse(error) : jsonResponse(200, "{}");
    }
    if (request.target == "/members" && isGet)
        return jsonResponse(200, toJson(describe()));
    if (request.target == "/counters" && isGet)
        return jsonResponse(200, toJson(counters_));
    const auto after = parseHistoryTarget(request.target);
    if (after.has_value() && isGet)
        return jsonResponse(200, toJson(history(*after)));
    return errorResponse(error_kind::UnknownRoute);
}

} // namespace fuchsiagw::testing
