/// @file
/// @brief Commands that show the configuration or change one section with a generated release note.

#include <fuchsiagw/ctl/commands.hpp>
#include <fuchsiagw/ctl/flags.hpp>
#include <fuchsiagw/ctl/note_file.hpp>
#include <fuchsiagw/ctl/store_switch.hpp>
#include <fuchsiagw/ctl/table.hpp>
#include <fuchsiagw/wire/key_hash.hpp>

#include <absl/flags/flag.h>

#include <algorithm>

namespace fuchsiagw::ctl {

namespace {

using core::section_kind;

constexpr std::size_t shownHashLength = 12;
constexpr std::size_t minHashPrefixDigits = 8; ///< of a prefix that identifies a key

/// @brief Fetches the configuration and prints the error of a failure.
/// @return Done, or the exit code of the failure
exit_code fetch(const command_context &context, core::configuration &config, std::string &text)
{
    const admin_result result =
            fetchConfiguration(context.transport, absl::GetFlag(FLAGS_address), config);
    if (result.code != exit_code::Done)
        return report(context, result);
    text = result.text;
    return exit_code::Done;
}

exit_code fetchWorkspace(const command_context &context, const std::string &name,
                         core::configuration &config, core::workspace_settings &workspace)
{
    std::string text;
    if (const exit_code code = fetch(context, config, text); code != exit_code::Done)
        return code;
    const auto entry = config.workspaces.find({ name });
    if (entry == config.workspaces.end()) {
        context.err << "there is no workspace '" << name
                    << "'\nnext: 'fuchsiagwctl workspace list' shows them\n";
        return exit_code::Refused;
    }
    workspace = entry->second;
    return exit_code::Done;
}

/// @brief Prints the unparsed document if --json is set.
/// @return whether it was printed
bool printDocument(const command_context &context, const std::string &text)
{
    if (absl::GetFlag(FLAGS_json))
        context.out << text << '\n';
    return absl::GetFlag(FLAGS_json);
}

std::vector<core::group_id> groupsFlag()
{
    std::vector<core::group_id> groups;
    std::string name;
    for (const char each : absl::GetFlag(FLAGS_groups) + ",") {
        if (each != ',') {
            name += each;
        } else if (!name.empty()) {
            groups.push_back({ name });
            name.clear();
        }
    }
    std::sort(groups.begin(), groups.end());
    return groups;
}

core::rate_section rateFlags()
{
    const double rate = absl::GetFlag(FLAGS_rate);
    const double burst = absl::GetFlag(FLAGS_burst);
    return { rate, burst > 0 ? burst : rate };
}

exit_code setSwitch(const command_context &context, const std::string &name, bool isOn)
{
    if (!absl::GetFlag(FLAGS_store).empty())
        return setStoreSwitch(context, name, isOn);
    const auto foundAction =
            std::find(core::automaticActionNames.begin(), core::automaticActionNames.end(), name);
    if (foundAction == core::automaticActionNames.end())
        return reportUsageError(
                context, "there is no switch '" + name
                                 + "'; the switches are all, promotion, rebalancing, loans and "
                                   "probing");
    core::configuration config;
    std::string text;
    if (const exit_code code = fetch(context, config, text); code != exit_code::Done)
        return code;
    core::section_changes list;
    const core::section where{ section_kind::Switch, name, {} };
    if (core::sectionsOf(config).at(where) == core::section_value(core::switch_section{ isOn })) {
        context.out << "switch " << name << " is " << (isOn ? "on" : "off") << " already\n";
        return exit_code::Done;
    }
    list.changed[where] = core::switch_section{ isOn };
    return submitChanges(context, config.version, list);
}

} // namespace

exit_code runWorkspaceList(const command_context &context,
                           const std::vector<std::string> & /*parameters*/)
{
    core::configuration config;
    std::string text;
    if (const exit_code code = fetch(context, config, text); code != exit_code::Done)
        return code;
    if (printDocument(context, text))
        return exit_code::Done;
    text_table table{ { "WORKSPACE", "LIMIT", "GROUPS", "KEYS", "READ CLASSES" } };
    for (const auto &[id, settings] : config.workspaces) {
        const auto valid =
                std::count_if(settings.keys.begin(), settings.keys.end(), [](const auto &each) {
                    return each.second == core::key_state::Valid;
                });
        std::string classes;
        for (const auto &[name, value] : settings.readClasses)
            classes.append(classes.empty() ? "" : " ").append(name);
        table.push_back({ id.value,
                          toString(core::section_value(
                                  core::rate_section{ settings.rate, settings.burst })),
                          toString(core::section_value(core::workspace_section{ settings.groups })),
                          std::to_string(valid) + " valid", classes.empty() ? "-" : classes });
    }
    printTable(context.out, table);
    return exit_code::Done;
}

exit_code runWorkspaceCreate(const command_context &context,
                             const std::vector<std::string> &parameters)
{
    if (absl::GetFlag(FLAGS_rate) <= 0)
        return reportUsageError(context, "a workspace needs --rate, in statements per second");
    core::configuration config;
    std::string text;
    if (const exit_code code = fetch(context, config, text); code != exit_code::Done)
        return code;
    core::section_changes list;
    list.added[{ section_kind::Workspace, parameters[0], {} }] =
            core::workspace_section{ groupsFlag() };
    list.added[{ section_kind::Rate, parameters[0], {} }] = rateFlags();
    return submitChanges(context, config.version, list);
}

exit_code runWorkspaceRate(const command_context &context,
                           const std::vector<std::string> &parameters)
{
    if (absl::GetFlag(FLAGS_rate) <= 0)
        return reportUsageError(context,
                                "give --rate, in statements per second, and optionally --burst");
    core::configuration config;
    core::workspace_settings workspace;
    if (const exit_code code = fetchWorkspace(context, parameters[0], config, workspace);
        code != exit_code::Done)
        return code;
    core::section_changes list;
    list.changed[{ section_kind::Rate, parameters[0], {} }] = rateFlags();
    return submitChanges(context, config.version, list);
}

exit_code runKeyIssue(const command_context &context, const std::vector<std::string> &parameters)
{
    core::configuration config;
    core::workspace_settings workspace;
    if (const exit_code code = fetchWorkspace(context, parameters[0], config, workspace);
        code != exit_code::Done)
        return code;
    const std::string key = wire::createKey();
    core::section_changes list;
    list.added[{ section_kind::Key, parameters[0], wire::hashKey(key) }] = core::key_section{};
    const exit_code code = submitChanges(context, config.version, list);
    // With an unknown outcome the key may already be valid. It cannot be recovered from its hash,
    // so it is printed in that case too.
    if (code == exit_code::Done || code == exit_code::Unknown)
        context.out << "key " << key << "\nhash " << wire::hashKey(key)
                    << "\nThe key is shown this once; hand it to the workspace's owner.\n";
    return code;
}

exit_code runKeyWithdraw(const command_context &context, const std::vector<std::string> &parameters)
{
    const std::string &prefix = parameters[1];
    if (prefix.size() < minHashPrefixDigits || prefix.starts_with(wire::keyPrefix))
        return reportUsageError(context,
                                "name the key by at least 8 digits of its hash, as 'key list' "
                                "shows it; never type the key itself");
    core::configuration config;
    core::workspace_settings workspace;
    if (const exit_code code = fetchWorkspace(context, parameters[0], config, workspace);
        code != exit_code::Done)
        return code;
    std::vector<core::key_hash> found;
    for (const auto &[hash, state] : workspace.keys) {
        if (hash.starts_with(prefix))
            found.push_back(hash);
    }
    if (found.size() != 1) {
        context.err << (found.empty() ? "no key" : "more than one key") << " of workspace "
                    << parameters[0] << " begins with " << prefix
                    << "\nnext: 'fuchsiagwctl key list " << parameters[0] << "' shows them\n";
        return exit_code::Refused;
    }
    if (workspace.keys.at(found.front()) == core::key_state::Withdrawn) {
        context.out << "the key is withdrawn already\n";
        return exit_code::Done;
    }
    core::section_changes list;
    list.withdrawn.insert({ section_kind::Key, parameters[0], found.front() });
    return submitChanges(context, config.version, list);
}

exit_code runKeyList(const command_context &context, const std::vector<std::string> &parameters)
{
    core::configuration config;
    std::string text;
    if (const exit_code code = fetch(context, config, text); code != exit_code::Done)
        return code;
    if (printDocument(context, text))
        return exit_code::Done;
    text_table table{ { "WORKSPACE", "KEY HASH", "STATE" } };
    for (const auto &[id, settings] : config.workspaces) {
        if (!parameters.empty() && id.value != parameters[0])
            continue;
        for (const auto &[hash, state] : settings.keys)
            table.push_back(
                    { id.value, hash.substr(0, shownHashLength),
                      std::string(core::keyStateNames.at(static_cast<std::size_t>(state))) });
    }
    printTable(context.out, table);
    return exit_code::Done;
}

exit_code runReadClassSet(const command_context &context,
                          const std::vector<std::string> &parameters)
{
    const std::int64_t age = absl::GetFlag(FLAGS_max_age_ms);
    if (age <= 0)
        return reportUsageError(context, "give --max_age_ms, the age that these reads accept");
    core::configuration config;
    core::workspace_settings workspace;
    if (const exit_code code = fetchWorkspace(context, parameters[0], config, workspace);
        code != exit_code::Done)
        return code;
    core::section_changes list;
    const core::section where{ section_kind::ReadClass, parameters[0], parameters[1] };
    auto &entries = workspace.readClasses.contains(parameters[1]) ? list.changed : list.added;
    entries[where] = core::read_class{ std::chrono::milliseconds(age) };
    return submitChanges(context, config.version, list);
}

exit_code runSwitchList(const command_context &context,
                        const std::vector<std::string> & /*parameters*/)
{
    if (!absl::GetFlag(FLAGS_store).empty())
        return listStoreSwitches(context);
    core::configuration config;
    std::string text;
    if (const exit_code code = fetch(context, config, text); code != exit_code::Done)
        return code;
    if (printDocument(context, text))
        return exit_code::Done;
    text_table table{ { "SWITCH", "SET TO", "IN EFFECT" } };
    for (const auto &[where, value] : core::sectionsOf(config)) {
        if (where.kind != section_kind::Switch)
            continue;
        const auto action = std::find(core::automaticActionNames.begin(),
                                      core::automaticActionNames.end(), where.owner);
        const bool isOn = core::isAutomatic(
                config,
                static_cast<core::automatic_action>(action - core::automaticActionNames.begin()));
        table.push_back({ where.owner, toString(value), isOn ? "on" : "off" });
    }
    printTable(context.out, table);
    return exit_code::Done;
}

exit_code runSwitchOn(const command_context &context, const std::vector<std::string> &parameters)
{
    return setSwitch(context, parameters[0], true);
}

exit_code runSwitchOff(const command_context &context, const std::vector<std::string> &parameters)
{
    return setSwitch(context, parameters[0], false);
}

} // namespace fuchsiagw::ctl
