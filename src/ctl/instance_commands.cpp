/// @file
/// @brief Commands for groups, instances, freshness statements and status.

#include <fuchsiagw/ctl/commands.hpp>
#include <fuchsiagw/ctl/flags.hpp>
#include <fuchsiagw/ctl/table.hpp>
#include <fuchsiagw/wire/vouch.hpp>

#include <absl/flags/flag.h>

namespace fuchsiagw::ctl {

namespace {

using nlohmann::json;

/// Well below 1 s, the minimum that daemons accept for keys.unproven_wait_ms.
constexpr std::chrono::milliseconds vouchInterval{ 500 };
constexpr std::chrono::milliseconds referencePollInterval{ 100 };
constexpr std::chrono::milliseconds referenceTimeout{
    6000
}; ///< two intervals of the slowest proof source

std::string fieldText(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end() || field->is_null())
        return "-";
    if (!field->is_string())
        return field->dump();
    return field->get<std::string>().empty() ? "-" : field->get<std::string>();
}

admin_result get(const command_context &context, const std::string &target)
{
    return callAdmin(context.transport, absl::GetFlag(FLAGS_address), "GET", target, {}, false);
}

exit_code listGroups(const command_context &context, const std::string &only)
{
    const admin_result result = get(context, "/v1/admin/groups");
    if (result.code != exit_code::Done)
        return report(context, result);
    if (absl::GetFlag(FLAGS_json)) {
        context.out << result.text << '\n';
        return exit_code::Done;
    }
    text_table table{ { "GROUP", "MEMBER", "ROLE", "ZONE", "ADDRESS", "APPLIED", "STATE" } };
    bool isFound = only.empty();
    for (const json &group : result.json.value("groups", json::array())) {
        const std::string name = fieldText(group, "group");
        if (!only.empty() && name != only)
            continue;
        isFound = true;
        for (const json &member : group.value("members", json::array())) {
            const json applied = member.value("applied", json::object());
            table.push_back({ name, fieldText(member, "member"), fieldText(member, "role"),
                              fieldText(member, "zone"), fieldText(member, "address"),
                              fieldText(applied, "term") + "/" + fieldText(applied, "index"),
                              fieldText(member, "state") });
        }
    }
    if (!isFound) {
        context.err << "there is no group '" << only
                    << "'\nnext: 'fuchsiagwctl group list' shows them\n";
        return exit_code::Refused;
    }
    printTable(context.out, table);
    return exit_code::Done;
}

/// Polls another instance until its proof is newer than the challenge, which was issued before this
/// call. An older proof does not show which version was the newest when the challenge was issued.
exit_code fetchReferenceVersion(const command_context &context, const std::string &against,
                                core::configuration_version &version, admin_result &result)
{
    const std::chrono::milliseconds start = context.elapsed();
    while (context.elapsed() - start < referenceTimeout) {
        const std::chrono::milliseconds requestOffset = context.elapsed() - start;
        result = callAdmin(context.transport, against, "GET", "/v1/admin/status", {}, false);
        if (result.code != exit_code::Done)
            return result.code;
        const json proof = result.json.value("proof", json::object());
        if (proof.value("proven", false) && proof.value("source", "") != "operator"
            && proof.value("age_ms", requestOffset.count()) < requestOffset.count()) {
            version = result.json.value("version", core::configuration_version{ 0 });
            return exit_code::Done;
        }
        context.sleep(referencePollInterval);
    }
    result.code = exit_code::Refused;
    result.problem = "the instance at " + against
                     + " gets no new proof that its version is the newest"
                       "\nnext: name another instance with --against";
    return result.code;
}

/// @brief Sends one signed statement to the instance.
/// @param result the last response
exit_code vouchOnce(const command_context &context, admin_result &result)
{
    const std::string address = absl::GetFlag(FLAGS_address);
    result =
            callAdmin(context.transport, address, "POST", "/v1/admin/vouch/challenge", "{}", false);
    if (result.code != exit_code::Done)
        return result.code;
    const std::string challenge = fieldText(result.json, "challenge");
    const std::string instance = fieldText(result.json, "instance");
    core::configuration_version version = absl::GetFlag(FLAGS_version);
    const std::string against = absl::GetFlag(FLAGS_against);
    if (!against.empty()) {
        const exit_code code = fetchReferenceVersion(context, against, version, result);
        if (code != exit_code::Done)
            return code;
    }
    const json statement = { { "challenge", challenge },
                             { "version", version },
                             { "mac", wire::computeVouchMac(context.secretHash(), { instance },
                                                            challenge, version) } };
    result = callAdmin(context.transport, address, "POST", "/v1/admin/vouch", statement.dump(),
                       false);
    return result.code;
}

} // namespace

exit_code runGroupList(const command_context &context,
                       const std::vector<std::string> & /*parameters*/)
{
    return listGroups(context, {});
}

exit_code runGroupShow(const command_context &context, const std::vector<std::string> &parameters)
{
    return listGroups(context, parameters[0]);
}

exit_code runGroupPromote(const command_context &context,
                          const std::vector<std::string> &parameters)
{
    if (!core::isName(parameters[0]))
        return reportUsageError(context, "'" + parameters[0] + "' is not the name of a group");
    json body = json::object();
    if (parameters.size() > 1)
        body["member"] = parameters[1];
    const admin_result result =
            callAdmin(context.transport, absl::GetFlag(FLAGS_address), "POST",
                      "/v1/admin/groups/" + parameters[0] + "/promote", body.dump(), true);
    if (result.code != exit_code::Done) {
        const exit_code code = report(context, result);
        if (code == exit_code::Unknown)
            context.err << "next: 'fuchsiagwctl group show " << parameters[0]
                        << "' shows the primary; a repeated promotion is safe\n";
        return code;
    }
    if (absl::GetFlag(FLAGS_json))
        context.out << result.text << '\n';
    else
        context.out << "group " << parameters[0] << " has primary "
                    << fieldText(result.json, "member") << " under term "
                    << fieldText(result.json, "term") << '\n';
    return exit_code::Done;
}

exit_code runInstanceList(const command_context &context,
                          const std::vector<std::string> & /*parameters*/)
{
    const admin_result result = get(context, "/v1/admin/instances");
    if (result.code != exit_code::Done)
        return report(context, result);
    if (absl::GetFlag(FLAGS_json)) {
        context.out << result.text << '\n';
        return exit_code::Done;
    }
    text_table table{ { "INSTANCE", "KIND", "ZONE", "ADDRESS", "STATE" } };
    for (const json &each : result.json.value("instances", json::array()))
        table.push_back({ fieldText(each, "instance"), fieldText(each, "kind"),
                          fieldText(each, "zone"), fieldText(each, "address"),
                          fieldText(each, "state") });
    printTable(context.out, table);
    return exit_code::Done;
}

exit_code runVouch(const command_context &context, const std::vector<std::string> & /*parameters*/)
{
    if ((absl::GetFlag(FLAGS_version) == 0) == absl::GetFlag(FLAGS_against).empty())
        return reportUsageError(context,
                                "give either --version N, which you know to be the newest, or "
                                "--against with the address of an instance that reads the "
                                "platform");
    const std::chrono::seconds span(absl::GetFlag(FLAGS_for_s));
    admin_result result;
    do {
        const exit_code code = vouchOnce(context, result);
        if (code != exit_code::Done)
            return report(context, result);
        if (span.count() > 0)
            context.sleep(vouchInterval);
    } while (context.elapsed() < span);
    if (absl::GetFlag(FLAGS_json))
        context.out << result.text << '\n';
    else
        context.out << "the instance holds version " << fieldText(result.json, "version")
                    << (result.json.value("proven", false)
                                ? " and accepts keys for another "
                                          + fieldText(result.json, "proven_ms") + " ms\n"
                                : " and accepts no keys: it lacks the version vouched for\n");
    return result.json.value("proven", false) ? exit_code::Done : exit_code::Refused;
}

exit_code runStatus(const command_context &context, const std::vector<std::string> & /*parameters*/)
{
    const admin_result result = get(context, "/v1/admin/status");
    if (result.code != exit_code::Done)
        return report(context, result);
    if (absl::GetFlag(FLAGS_json)) {
        context.out << result.text << '\n';
        return exit_code::Done;
    }
    const json proof = result.json.value("proof", json::object());
    printTable(context.out,
               { { "instance", fieldText(result.json, "instance") },
                 { "zone", fieldText(result.json, "zone") },
                 { "state", fieldText(result.json, "state") },
                 { "version", fieldText(result.json, "version") },
                 { "in force everywhere", fieldText(result.json, "in_force_everywhere") },
                 { "accepts keys", proof.value("proven", false) ? "yes" : "no" },
                 { "proof",
                   fieldText(proof, "source") + ", " + fieldText(proof, "age_ms") + " ms old" },
                 { "platform reachable", fieldText(result.json, "platform_reachable") },
                 { "parent", fieldText(result.json, "parent") },
                 { "children", fieldText(result.json, "children") },
                 { "instances listed", fieldText(result.json, "listed") } });
    return exit_code::Done;
}

} // namespace fuchsiagw::ctl
