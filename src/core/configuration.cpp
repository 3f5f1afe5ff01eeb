/// @file
/// @brief Queries and validation of a configuration.

#include <fuchsiagw/core/configuration.hpp>

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <set>

namespace fuchsiagw::core {

namespace {

std::string join(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view each : parts)
        text += each;
    return text;
}

bool isPositive(double value)
{
    return std::isfinite(value) && value > 0;
}

std::string findWorkspaceProblem(const configuration &config, const std::string &path,
                                 const workspace_settings &settings)
{
    if (!isPositive(settings.rate))
        return path + ".rate: must be greater than 0";
    if (!isPositive(settings.burst))
        return path + ".burst: must be greater than 0";
    for (std::size_t i = 0; i < settings.groups.size(); ++i) {
        const std::string &group = settings.groups[i].value;
        if (!config.groups.contains(settings.groups[i]))
            return join({ path, ".groups: there is no group '", group, "'" });
        if (i > 0 && settings.groups[i - 1] >= settings.groups[i])
            return join({ path, ".groups: '", group, "' is repeated or out of order" });
    }
    for (const auto &[name, value] : settings.readClasses) {
        if (!isName(name))
            return join({ path, ".read_classes: '", name, "' is not a name" });
        if (value.maxAge.count() <= 0)
            return join({ path, ".read_classes.", name, ".max_age_ms: must be greater than 0" });
    }
    return {};
}

std::string findKeyProblem(const configuration &config)
{
    std::set<key_hash> seen;
    const auto check = [&seen](const std::string &path, const key_hash &hash) -> std::string {
        if (!isKeyHash(hash))
            return path + ": '" + hash + "' is not a key hash of 64 hexadecimal digits";
        if (!seen.insert(hash).second)
            return path + ": key hash " + hash + " belongs to another workspace already";
        return {};
    };
    for (const auto &[hash, workspace] : config.retiredKeys) {
        if (std::string problem = check("retired_keys", hash); !problem.empty())
            return problem;
        if (!isName(workspace.value))
            return "retired_keys." + hash + ": '" + workspace.value + "' is not a name";
    }
    for (const auto &[id, settings] : config.workspaces) {
        for (const auto &[hash, state] : settings.keys) {
            std::string problem = check("workspaces." + id.value + ".keys", hash);
            if (!problem.empty())
                return problem;
        }
    }
    return {};
}

std::string findGroupProblem(const std::string &path, const group_settings &settings)
{
    if (settings.slots < 1)
        return path + ".slots: must be at least 1";
    if (settings.connections < 1)
        return path + ".connections: must be at least 1";
    if (settings.members.empty())
        return path + ".members: a group needs at least one member";
    for (const auto &[id, member] : settings.members) {
        if (!isName(id.value))
            return path + ".members: '" + id.value + "' is not a name";
        if (!isName(member.zone.value))
            return path + ".members." + id.value + ".zone: not a name";
        if (member.address.empty())
            return path + ".members." + id.value + ".address: is empty";
    }
    return {};
}

std::string findMemberProblem(const configuration &config)
{
    std::set<member_id> members;
    std::set<std::string> addresses;
    for (const auto &[id, group] : config.groups) {
        for (const auto &[member, settings] : group.members) {
            const std::string path = "groups." + id.value + ".members." + member.value;
            if (!members.insert(member).second)
                return path + ": another group has a member with this name";
            if (!addresses.insert(settings.address).second)
                return path + ".address: another member has this address";
        }
    }
    return {};
}

} // namespace

bool isAutomatic(const configuration &config, automatic_action action)
{
    const auto isOn = [&config](automatic_action each) {
        const auto entry = config.switches.find(each);
        return entry == config.switches.end() || entry->second;
    };
    return isOn(automatic_action::All) && isOn(action);
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength
           && std::all_of(text.begin(), text.end(), [](char each) {
                  return (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z')
                         || (each >= '0' && each <= '9') || each == '-' || each == '_'
                         || each == '.';
              });
}

bool isKeyHash(std::string_view text)
{
    return text.size() == keyHashLength && std::all_of(text.begin(), text.end(), [](char each) {
               return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'f');
           });
}

std::string findProblem(const configuration &config)
{
    for (const auto &[id, settings] : config.workspaces) {
        if (!isName(id.value))
            return "workspaces: '" + id.value + "' is not a name";
        std::string problem = findWorkspaceProblem(config, "workspaces." + id.value, settings);
        if (!problem.empty())
            return problem;
    }
    for (const auto &[id, settings] : config.groups) {
        if (!isName(id.value))
            return "groups: '" + id.value + "' is not a name";
        std::string problem = findGroupProblem("groups." + id.value, settings);
        if (!problem.empty())
            return problem;
    }
    if (std::string problem = findMemberProblem(config); !problem.empty())
        return problem;
    return findKeyProblem(config);
}

} // namespace fuchsiagw::core
