/// @file
/// @brief Routes and JSON bodies of the admin port.

#include <fuchsiagw/wire/admin_json.hpp>

#include <fuchsiagw/detail/strict_json.hpp>
#include <fuchsiagw/wire/key_hash.hpp>
#include <fuchsiagw/wire/note_json.hpp>

#include <sodium.h>

namespace fuchsiagw::wire {

namespace {

using core::error_kind;
using nlohmann::json;

constexpr std::string_view adminPrefix = "/v1/admin/";
constexpr std::string_view bearerPrefix = "Bearer ";

struct route_row
{
    std::string_view method;
    std::string_view pathPrefix; ///< path between adminPrefix and the argument
    std::string_view pathSuffix; ///< path after the argument
    bool hasArgument;
    admin_route route;
};

constexpr std::array<route_row, 10> routes{ {
        { "GET", "configuration", "", false, admin_route::Configuration },
        { "POST", "notes", "", false, admin_route::SubmitNote },
        { "POST", "notes/check", "", false, admin_route::CheckNote },
        { "GET", "notes/", "", true, admin_route::NoteStatus },
        { "GET", "groups", "", false, admin_route::Groups },
        { "POST", "groups/", "/promote", true, admin_route::Promote },
        { "GET", "instances", "", false, admin_route::Instances },
        { "POST", "vouch/challenge", "", false, admin_route::Challenge },
        { "POST", "vouch", "", false, admin_route::Vouch },
        { "GET", "status", "", false, admin_route::Status },
} };

bool matchesPath(const route_row &row, std::string_view path, std::string &argument)
{
    if (!row.hasArgument)
        return path == row.pathPrefix;
    if (path.size() <= row.pathPrefix.size() + row.pathSuffix.size()
        || !path.starts_with(row.pathPrefix) || !path.ends_with(row.pathSuffix))
        return false;
    path.remove_prefix(row.pathPrefix.size());
    path.remove_suffix(row.pathSuffix.size());
    argument = path;
    return core::isName(path);
}

std::string dump(const json &document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json errorOf(error_kind kind, const std::string &problem)
{
    const core::error_answer &row = core::answerOf(kind);
    return { { "error", row.name },
             { "number", static_cast<int>(kind) },
             { "outcome", toString(row.outcome) },
             { "retry", toString(row.advice) },
             { "problem", problem.empty() ? std::string(row.defaultProblem) : problem } };
}

json changesOf(const core::section_changes &changes)
{
    return json::parse(writeChanges(changes));
}

admin_answer refuse(error_kind kind, const json &body)
{
    return { core::answerOf(kind).httpStatus, dump(body) };
}

/// Adds what an operator needs to correct a rejected note: the changes since its base version, or
/// the exact list of differences.
void addConflictDetails(const core::config_store &store, const core::release_note &note,
                        const core::note_problem &problem, json &body)
{
    body["newest_version"] = store.current->version;
    if (problem.kind == error_kind::NoteNotExact)
        body["actual"] = changesOf(problem.actual);
    if (problem.kind != error_kind::NoteConflict)
        return;
    const auto changes = core::changesSince(store, note.base);
    if (changes)
        body["changed_since_base"] = changesOf(*changes);
}

} // namespace

admin_route_match matchAdminRoute(std::string_view method, std::string_view target)
{
    admin_route_match match;
    match.error = error_kind::UnknownRoute;
    std::string_view path = target.substr(0, target.find('?'));
    if (!path.starts_with(adminPrefix))
        return match;
    path.remove_prefix(adminPrefix.size());
    for (const route_row &row : routes) {
        std::string argument;
        if (!matchesPath(row, path, argument))
            continue;
        if (row.method == method)
            return { std::nullopt, row.route, argument };
        match.error = error_kind::MethodNotAllowed;
    }
    return match;
}

bool isOperatorAuthorized(std::string_view header, std::string_view secretHash)
{
    if (!header.starts_with(bearerPrefix))
        return false;
    const std::string hash = hashKey(header.substr(bearerPrefix.size()));
    return hash.size() == secretHash.size()
           && sodium_memcmp(hash.data(), secretHash.data(), hash.size()) == 0;
}

admin_answer answerError(error_kind kind, const std::string &problem)
{
    return refuse(kind, errorOf(kind, problem));
}

admin_answer answerConfiguration(const core::config_store &store)
{
    return { 200, configurationCodec().write(*store.current) };
}

admin_answer answerCheck(const core::config_store &store, std::string_view body)
{
    core::release_note note;
    std::string text;
    if (const std::error_code error = readNote(body, note, text); error)
        return answerError(core::kindOf(error), text);
    core::configuration result;
    core::note_problem problem;
    if (core::applyNote(*store.current, note, result, problem)) {
        json refusal = errorOf(problem.kind, problem.text);
        addConflictDetails(store, note, problem, refusal);
        return refuse(problem.kind, refusal);
    }
    return { 200, dump({ { "valid", true }, { "note", note.id }, { "version", result.version } }) };
}

admin_answer answerSubmit(const core::config_store &store, const core::release_note &note,
                          const core::submit_result &result)
{
    if (!result.error)
        return { 200, dump({ { "note", note.id },
                             { "version", result.version },
                             { "applied", true },
                             { "applied_before", result.wasAppliedBefore } }) };
    const error_kind kind = core::kindOf(result.error);
    json body = errorOf(kind, result.problem.text);
    addConflictDetails(store, note, result.problem, body);
    return refuse(kind, body);
}

admin_answer answerNoteStatus(const std::string &id,
                              std::optional<core::configuration_version> version,
                              const core::config_store &store,
                              core::configuration_version everywhere)
{
    json body = { { "note", id }, { "applied", version.has_value() } };
    if (version) {
        body["version"] = *version;
        body["in_force_here"] = store.current->version >= *version;
        body["in_force_everywhere"] = everywhere >= *version;
    }
    return { 200, dump(body) };
}

admin_answer answerGroups(const std::vector<group_report> &groups)
{
    json list = json::array();
    for (const group_report &each : groups) {
        json members = json::array();
        for (const group_report::member &member : each.members)
            members.push_back(
                    { { "member", member.member.value },
                      { "zone", member.zone.value },
                      { "address", member.address },
                      { "role", core::memberRoleNames.at(static_cast<std::size_t>(member.role)) },
                      { "applied",
                        { { "term", member.applied.term }, { "index", member.applied.index } } },
                      { "state", member.state } });
        list.push_back({ { "group", each.group.value },
                         { "primary", each.primary.value },
                         { "term", each.term },
                         { "members", std::move(members) } });
    }
    return { 200, dump({ { "groups", std::move(list) } }) };
}

std::error_code readPromotion(std::string_view body, core::member_id &member, std::string &problem)
{
    detail::json_problem found;
    json document;
    core::member_id read;
    if (detail::parseStrict(body, document, found)) {
        detail::object_reader fields(document, "", found);
        if (fields.find("member") != nullptr)
            fields.text("member", read.value);
        fields.finish();
    }
    if (found.exists()) {
        problem = found.text;
        return found.error;
    }
    member = std::move(read);
    return {};
}

admin_answer answerPromotion(const core::group_id &group, const core::member_id &member,
                             core::term_number term)
{
    return { 200,
             dump({ { "group", group.value }, { "member", member.value }, { "term", term } }) };
}

admin_answer answerInstances(const core::instance_list &list)
{
    json entries = json::array();
    for (const core::instance_entry &each : list.instances)
        entries.push_back({ { "instance", each.instance.value },
                            { "kind", toString(each.kind) },
                            { "zone", each.zone.value },
                            { "address", each.address },
                            { "state", toString(each.state) } });
    return { 200, dump({ { "instances", std::move(entries) } }) };
}

admin_answer answerStatus(const status_report &report)
{
    json proof = { { "source", toString(report.proof) }, { "proven", report.isProven } };
    if (report.proofAgeMs)
        proof["age_ms"] = *report.proofAgeMs;
    return { 200, dump({ { "instance", report.self.instance.value },
                         { "zone", report.self.zone.value },
                         { "state", report.state },
                         { "version", report.version },
                         { "in_force_everywhere", report.everywhere },
                         { "proof", std::move(proof) },
                         { "platform_reachable", report.isPlatformReachable },
                         { "parent", report.parent.value },
                         { "children", report.children },
                         { "listed", report.listed } }) };
}

} // namespace fuchsiagw::wire
