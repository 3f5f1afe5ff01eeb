/// @file
/// @brief JSON form of the configuration.

#include <fuchsiagw/wire/configuration_json.hpp>

#include <fuchsiagw/detail/strict_json.hpp>
#include <fuchsiagw/wire/key_hash.hpp>

#include <algorithm>

namespace fuchsiagw::wire {

namespace {

using core::error_kind;
using detail::json_problem;
using detail::object_reader;
using nlohmann::json;

json toJson(const core::workspace_settings &settings)
{
    json groups = json::array();
    for (const core::group_id &group : settings.groups)
        groups.push_back(group.value);
    json classes = json::object();
    for (const auto &[name, value] : settings.readClasses)
        classes[name] = { { "max_age_ms", value.maxAge.count() } };
    json keys = json::object();
    for (const auto &[hash, state] : settings.keys)
        keys[hash] = core::keyStateNames.at(static_cast<std::size_t>(state));
    return { { "rate", settings.rate },
             { "burst", settings.burst },
             { "groups", std::move(groups) },
             { "read_classes", std::move(classes) },
             { "keys", std::move(keys) } };
}

json toJson(const core::group_settings &settings)
{
    json members = json::object();
    for (const auto &[id, member] : settings.members)
        members[id.value] = { { "zone", member.zone.value }, { "address", member.address } };
    return { { "slots", settings.slots },
             { "connections", settings.connections },
             { "members", std::move(members) } };
}

core::workspace_settings readWorkspace(const json &value, const std::string &path,
                                       json_problem &problem)
{
    core::workspace_settings settings;
    object_reader fields(value, path, problem);
    fields.number("rate", settings.rate);
    fields.number("burst", settings.burst);
    fields.forEachElement("groups", [&](const json &each, const std::string &at) {
        if (each.is_string())
            settings.groups.push_back({ each.get<std::string>() });
        else
            problem.set(error_kind::WrongType, at, "must be a string");
    });
    fields.forEachField("read_classes",
                        [&](const std::string &name, const json &each, const std::string &at) {
                            object_reader inner(each, at, problem);
                            std::uint32_t age = 0;
                            inner.integer("max_age_ms", age);
                            inner.finish();
                            settings.readClasses[name].maxAge = std::chrono::milliseconds(age);
                        });
    fields.forEachField("keys", [&](const std::string &hash, const json &each,
                                    const std::string &at) {
        const auto name = std::find(core::keyStateNames.begin(), core::keyStateNames.end(),
                                    each.is_string() ? each.get<std::string>() : std::string());
        if (name == core::keyStateNames.end())
            problem.set(error_kind::InvalidValue, at, "must be 'valid' or 'withdrawn'");
        else
            settings.keys[hash] = static_cast<core::key_state>(name - core::keyStateNames.begin());
    });
    fields.finish();
    return settings;
}

core::group_settings readGroup(const json &value, const std::string &path, json_problem &problem)
{
    core::group_settings settings;
    object_reader fields(value, path, problem);
    fields.integer("slots", settings.slots);
    fields.integer("connections", settings.connections);
    fields.forEachField("members",
                        [&](const std::string &id, const json &each, const std::string &at) {
                            core::member_settings member;
                            object_reader inner(each, at, problem);
                            inner.text("zone", member.zone.value);
                            inner.text("address", member.address);
                            inner.finish();
                            settings.members[{ id }] = std::move(member);
                        });
    fields.finish();
    return settings;
}

core::configuration readDocument(const json &document, json_problem &problem)
{
    core::configuration config;
    object_reader fields(document, "", problem);
    fields.integer("version", config.version);
    fields.forEachField("workspaces",
                        [&](const std::string &id, const json &each, const std::string &at) {
                            config.workspaces[{ id }] = readWorkspace(each, at, problem);
                        });
    fields.forEachField("groups",
                        [&](const std::string &id, const json &each, const std::string &at) {
                            config.groups[{ id }] = readGroup(each, at, problem);
                        });
    fields.forEachField(
            "switches", [&](const std::string &name, const json &each, const std::string &at) {
                const auto action = std::find(core::automaticActionNames.begin(),
                                              core::automaticActionNames.end(), name);
                if (action == core::automaticActionNames.end())
                    problem.set(error_kind::UnknownField, at, "there is no such switch");
                else if (!each.is_boolean())
                    problem.set(error_kind::WrongType, at, "must be true or false");
                else
                    config.switches[static_cast<core::automatic_action>(
                            action - core::automaticActionNames.begin())] = each.get<bool>();
            });
    fields.forEachField(
            "retired_keys", [&](const std::string &hash, const json &each, const std::string &at) {
                if (each.is_string())
                    config.retiredKeys[hash] = { each.get<std::string>() };
                else
                    problem.set(error_kind::WrongType, at, "must be a workspace's name");
            });
    fields.finish();
    return config;
}

} // namespace

std::string writeConfiguration(const core::configuration &config)
{
    // The form is canonical because nlohmann::json orders objects by name and writes numbers in
    // their shortest form.
    json document = { { "version", config.version },
                      { "workspaces", json::object() },
                      { "groups", json::object() },
                      { "switches", json::object() },
                      { "retired_keys", json::object() } };
    for (const auto &[id, settings] : config.workspaces)
        document["workspaces"][id.value] = toJson(settings);
    for (const auto &[id, settings] : config.groups)
        document["groups"][id.value] = toJson(settings);
    for (const auto &[action, isOn] : config.switches)
        document["switches"]
                [std::string(core::automaticActionNames.at(static_cast<std::size_t>(action)))] =
                        isOn;
    for (const auto &[hash, workspace] : config.retiredKeys)
        document["retired_keys"][hash] = workspace.value;
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::error_code readConfiguration(std::string_view text, core::configuration &config,
                                  std::string &problem)
{
    json_problem found;
    json document;
    core::configuration read;
    if (detail::parseStrict(text, document, found))
        read = readDocument(document, found);
    if (!found.exists()) {
        const std::string broken = core::findProblem(read);
        if (!broken.empty())
            found.set(error_kind::InvalidValue, "", broken);
    }
    if (found.exists()) {
        problem = found.text;
        return found.error;
    }
    config = std::move(read);
    return {};
}

std::string contentHashOf(std::string_view text)
{
    return hashKey(text);
}

std::uint64_t contentTagOf(std::string_view text)
{
    constexpr std::size_t digits = 16;
    return std::stoull(contentHashOf(text).substr(0, digits), nullptr, 16);
}

} // namespace fuchsiagw::wire
