/// @file
/// @brief Limits on the concurrent operations at the members of a relay, and their announcement.

#include <fuchsiagw/daemon/metrics_text.hpp>
#include <fuchsiagw/detail/relay_connections.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fuchsiagw::daemon {

namespace {

constexpr std::chrono::milliseconds loadCheckInterval{ 50 };

/// @return how a reply counts for the limit; nothing if it shows no work
std::optional<proxy::answer_kind> kindOf(proxy::reply_shape shape, proxy::reply_code code)
{
    if (code == proxy::reply_code::Busy)
        return proxy::answer_kind::Busy;
    if (shape != proxy::reply_shape::Run && shape != proxy::reply_shape::Commit)
        return std::nullopt;
    if (code == proxy::reply_code::Success)
        return proxy::answer_kind::Success;
    const bool isError = code == proxy::reply_code::Failed || code == proxy::reply_code::TimedOut;
    return isError ? std::optional(proxy::answer_kind::Error) : std::nullopt;
}

} // namespace

void relay_server::setLoadHandlers(note_handler onNote, load_handler onLoad)
{
    onNote_ = std::move(onNote);
    onLoad_ = std::move(onLoad);
}

void relay_server::sendCommands(proxy::pooled_id id, std::string &&text,
                                const std::vector<proxy::reply_shape> &shapes)
{
    pooled &to = *pooled_.at(id);
    const auto pool = pools_.find(to.member);
    if (pool != pools_.end())
        pool->second.connections.at(id).hasOutstanding = true;
    if (limitsMembers() && pool != pools_.end()) {
        const core::time_point now = net::currentBootTime();
        const auto outstanding = static_cast<std::uint32_t>(proxy::countBusy(pool->second));
        for (const proxy::reply_shape shape : shapes)
            to.sent.push_back({ shape, now, outstanding });
    }
    to.connection->send(std::move(text), shapes);
}

void relay_server::recordReply(proxy::pooled_id id, const proxy::reply &received)
{
    pooled &from = *pooled_.at(id);
    const core::time_point now = net::currentBootTime();
    const auto pool = pools_.find(from.member);
    if (pool != pools_.end())
        pool->second.connections.at(id).hasOutstanding = from.connection->hasOutstanding();
    if (from.sent.empty())
        return;
    const sent_command command = from.sent.front();
    from.sent.pop_front();
    const core::time_point startedAt = std::max(command.sentAt, from.lastReplyAt);
    from.lastReplyAt = now;
    const auto kind = kindOf(command.shape, received.code);
    const auto member = members_.find(from.member);
    if (!kind || member == members_.end())
        return;
    proxy::concurrency_limit &limit = member->second.limit;
    const double before = limit.limit;
    const proxy::limit_cause cause =
            proxy::recordAnswer(limit, { *kind, startedAt, command.outstanding }, now);
    if (cause != proxy::limit_cause::None)
        logLimit(from.member, limit, before, cause);
}

void relay_server::logLimit(const std::string &member, const proxy::concurrency_limit &limit,
                            double before, proxy::limit_cause cause) const
{
    const auto was = static_cast<std::int64_t>(before);
    const auto is = static_cast<std::int64_t>(limit.limit);
    if (!onNote_ || was == is)
        return;
    proxy::decision_note note;
    note.kind = proxy::note_kind::MemberLimitChanged;
    note.member = member;
    note.reason = fmt::format("{}_from_{}", toString(cause), was);
    note.number = is;
    note.age = net::currentBootTime() - limit.unloadedAt;
    onNote_(note);
}

void relay_server::checkLoads(core::time_point now)
{
    if (!limitsMembers() || now < nextLoadCheckAt_)
        return;
    nextLoadCheckAt_ = now + loadCheckInterval;
    std::erase_if(members_, [this](const auto &each) { return !pools_.contains(each.first); });
    for (auto &[name, member] : members_) {
        const proxy::relay_pool &pool = pools_.at(name);
        const proxy::member_load load =
                proxy::measureLoad(member.announcement, member.limit, pool, now);
        if (proxy::takeAnnouncement(member.announcement, load, now) && onLoad_)
            onLoad_(name, load);
        counters_.refusedEarly += pool.earlyRefusals - member.refusedEarly;
        const bool isRefusing = pool.earlyRefusals != member.refusedEarly;
        member.refusedEarly = pool.earlyRefusals;
        if (std::exchange(member.isRefusing, isRefusing) == isRefusing || !onNote_)
            continue;
        proxy::decision_note note;
        note.kind = proxy::note_kind::OverloadChanged;
        note.member = name;
        note.reason = isRefusing ? "refuses" : "serves_all";
        note.number = static_cast<std::int64_t>(pool.waiting.size());
        onNote_(note);
    }
}

std::string relay_server::metricsText() const
{
    if (members_.empty())
        return {};
    const core::time_point now = net::currentBootTime();
    std::string limits = "# TYPE fuchsiagw_member_limit gauge\n";
    std::string busy = "# TYPE fuchsiagw_member_busy gauge\n";
    std::string normal = "# TYPE fuchsiagw_member_normal_answer_seconds gauge\n";
    std::string queues = "# TYPE fuchsiagw_queue_length gauge\n";
    for (const auto &[name, member] : members_) {
        const auto pool = pools_.find(name);
        if (pool == pools_.end())
            continue;
        const std::string label = fmt::format("{{member=\"{}\"}}", escapeLabel(name));
        limits += fmt::format("fuchsiagw_member_limit{} {}\n", label,
                              proxy::currentLimit(member.limit, now));
        busy += fmt::format("fuchsiagw_member_busy{} {}\n", label, proxy::countBusy(pool->second));
        normal += fmt::format("fuchsiagw_member_normal_answer_seconds{} {:.6f}\n", label,
                              member.limit.normalUs / 1e6);
        queues += fmt::format("fuchsiagw_queue_length{} {}\n", label, pool->second.waiting.size());
    }
    return limits + busy + normal + queues;
}

} // namespace fuchsiagw::daemon
