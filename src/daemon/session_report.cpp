/// @file
/// @brief Log summary and metrics of the session gateway.

#include <fuchsiagw/daemon/session_gateway.hpp>

#include <fuchsiagw/daemon/metrics_text.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace fuchsiagw::daemon {

namespace {

std::string evacuationMetrics(const proxy::evacuation_state &state, core::time_point now)
{
    if (state.zones.empty())
        return {};
    std::string text = "# TYPE fuchsiagw_evacuated_zone_statements_total counter\n";
    for (const auto &[zone, each] : state.zones)
        text += fmt::format("fuchsiagw_evacuated_zone_statements_total{{zone=\"{}\"}} {}\n",
                            escapeLabel(zone), each.statements);
    text += "# TYPE fuchsiagw_evacuated_zone_last_statement_seconds gauge\n";
    for (const auto &[zone, each] : state.zones) {
        if (each.statements == 0)
            continue;
        const std::chrono::duration<double> age = now - each.lastStatementAt;
        text += fmt::format(
                "fuchsiagw_evacuated_zone_last_statement_seconds{{zone=\"{}\"}} {:.3f}\n",
                escapeLabel(zone), age.count());
    }
    return text;
}

} // namespace

std::string session_gateway::summary() const
{
    const proxy::engine_counters &counts = engine_.counters;
    std::string text = fmt::format(
            "operations={} statements={} primary={} replica={} retried={} hedged={} opened={} "
            "reused={} sessions={} links={} lent={} kept_opened={} lend_refused={}",
            counts.operations, counts.statements, counts.placedOnPrimary, counts.placedOnReplica,
            counts.retried, counts.hedged, counts.linksOpened, counts.linksReused,
            engine_.sessions.size(), engine_.links.size(), relay_.counters().lent,
            relay_.counters().opened, relay_.counters().refused);
    for (std::size_t i = 0; i < storePurposeNames.size(); ++i)
        text += fmt::format(" store_{}={}", storePurposeNames[i], store_.counters().calls[i]);
    for (std::size_t i = 1; i < replyFaults_.size(); ++i) {
        if (replyFaults_[i] != 0)
            text += fmt::format(" rejected_{}={}", proxy::replyFaultNames[i], replyFaults_[i]);
    }
    for (std::size_t i = 0; i < counts.refused.size(); ++i) {
        if (counts.refused[i] != 0)
            text += fmt::format(" refused_{}={}", proxy::refusalRows[i].name, counts.refused[i]);
    }
    return text;
}

std::string session_gateway::metricsText() const
{
    const proxy::engine_counters &counts = engine_.counters;
    std::string text;
    const auto add = [&text](std::string_view name, std::string_view type, auto value) {
        text += fmt::format("# TYPE fuchsiagw_{0} {1}\nfuchsiagw_{0} {2}\n", name, type, value);
    };
    add("statements_total", "counter", counts.statements);
    add("operations_total", "counter", counts.operations);
    add("placed_on_primary_total", "counter", counts.placedOnPrimary);
    add("placed_on_replica_total", "counter", counts.placedOnReplica);
    add("statements_retried_total", "counter", counts.retried);
    add("statements_hedged_total", "counter", counts.hedged);
    add("links_opened_total", "counter", counts.linksOpened);
    add("links_reused_total", "counter", counts.linksReused);
    add("promotions_ordered_total", "counter", counts.promotionsOrdered);
    const auto open =
            std::count_if(engine_.services.begin(), engine_.services.end(), [](const auto &each) {
                return proxy::mayReplace(each.second.openOrders, each.second.leader);
            });
    add("groups_with_open_orders", "gauge", open);
    const auto behind =
            std::count_if(engine_.services.begin(), engine_.services.end(),
                          [](const auto &each) { return each.second.receiver.isReported; });
    add("groups_with_ordered_member_behind", "gauge", behind);
    add("commits_held_total", "counter", counts.commitsHeld);
    add("commits_delayed_total", "counter", counts.commitsDelayed);
    add("datagrams_unreadable_total", "counter", unreadableDatagrams_);
    add("datagrams_repeated_total", "counter", repeatedDatagrams_);
    add("events_dropped_total", "counter", droppedEvents_);
    add("store_rows_unreadable_total", "counter", store_.counters().unreadableRows);
    add("store_failures_total", "counter", store_.counters().failures);
    add("early_refusals_total", "counter", relay_.counters().refusedEarly);
    add("buffered_bytes", "gauge", callerBytes_->used + relay_.memory().used + engine_.stateBytes);
    text += fmt::format("# TYPE fuchsiagw_connections_closed_total counter\n"
                        "fuchsiagw_connections_closed_total{{reason=\"caller_memory\"}} {}\n"
                        "fuchsiagw_connections_closed_total{{reason=\"relay_memory\"}} {}\n"
                        "fuchsiagw_connections_closed_total{{reason=\"no_session\"}} {}\n",
                        callerBytes_->closedHolders, relay_.memory().closedHolders, closedSilent_);
    add("inputs_dropped_total", "counter", inputsDropped_);
    add("statements_unanswered_total", "counter", counts.statementsUnanswered);
    text += "# TYPE fuchsiagw_sessions_ended_total counter\n";
    for (std::size_t i = 0; i < counts.sessionsEnded.size(); ++i)
        text += fmt::format("fuchsiagw_sessions_ended_total{{reason=\"{}\"}} {}\n",
                            proxy::sessionEndNames[i], counts.sessionsEnded[i]);
    add("sessions", "gauge", engine_.sessions.size());
    add("links", "gauge", engine_.links.size());
    add("instances", "gauge", engine_.instances);
    const auto listed = std::count_if(engine_.members.begin(), engine_.members.end(),
                                      [](const auto &each) { return each.second.listed; });
    add("members", "gauge", listed);
    const auto zoneRefusals =
            counts.refused.at(static_cast<std::size_t>(proxy::refusal_reason::ZoneEvacuated));
    add("zones_evacuated", "gauge", engine_.evacuation.zones.size());
    add("zone_refusals_total", "counter", zoneRefusals);
    text += evacuationMetrics(engine_.evacuation, net::currentBootTime());
    add("limit_part_millionths", "gauge", engine_.claim.granted);
    add("manifest_version", "gauge", proxy::manifestVersionOf(engine_));
    add("manifest_named_version", "gauge", store_.manifestSync().namedVersion);
    add("manifest_reads_failed_total", "counter", store_.counters().failedManifestReads);
    add("manifest_feeds_reopened_total", "counter", store_.counters().reopenedFeeds);
    add("store_era_changes_total", "counter", store_.counters().eraChanges);
    const std::chrono::duration<double> proofAge =
            net::currentBootTime() - engine_.manifestProvenAt;
    add("manifest_proof_age_seconds", "gauge", proofAge.count());
    text += "# TYPE fuchsiagw_refused_total counter\n";
    for (std::size_t i = 0; i < counts.refused.size(); ++i)
        text += fmt::format("fuchsiagw_refused_total{{reason=\"{}\"}} {}\n",
                            proxy::refusalRows[i].name, counts.refused[i]);
    text += "# TYPE fuchsiagw_replies_rejected_total counter\n";
    for (std::size_t i = 1; i < replyFaults_.size(); ++i)
        text += fmt::format("fuchsiagw_replies_rejected_total{{reason=\"{}\"}} {}\n",
                            proxy::replyFaultNames[i], replyFaults_[i]);
    text += "# TYPE fuchsiagw_store_calls_total counter\n";
    for (std::size_t i = 0; i < storePurposeNames.size(); ++i)
        text += fmt::format("fuchsiagw_store_calls_total{{purpose=\"{}\"}} {}\n",
                            storePurposeNames[i], store_.counters().calls[i]);
    return text + relay_.metricsText() + latencies_.text();
}

} // namespace fuchsiagw::daemon
