/// @file
/// @brief JSON form of release notes.

#include <fuchsiagw/wire/note_json.hpp>

#include <fuchsiagw/detail/strict_json.hpp>
#include <fuchsiagw/wire/configuration_json.hpp>

#include <algorithm>

namespace fuchsiagw::wire {

namespace {

using core::error_kind;
using core::section;
using core::section_kind;
using core::section_value;
using detail::json_problem;
using detail::object_reader;
using nlohmann::json;

std::string_view ownerField(section_kind kind)
{
    switch (kind) {
    case section_kind::Group:
    case section_kind::Member:
        return "group";
    case section_kind::Switch:
        return "switch";
    default:
        return "workspace";
    }
}

std::string_view nameField(section_kind kind)
{
    switch (kind) {
    case section_kind::Member:
        return "member";
    case section_kind::Key:
        return "hash";
    case section_kind::ReadClass:
        return "name";
    default:
        return {};
    }
}

json toJson(const section &where)
{
    json element = { { "section", toString(where.kind) } };
    element[std::string(ownerField(where.kind))] = where.owner;
    if (const std::string_view field = nameField(where.kind); !field.empty())
        element[std::string(field)] = where.name;
    return element;
}

struct value_writer
{
    json &element;

    void operator()(const core::group_section &each) const
    {
        element["slots"] = each.slots;
        element["connections"] = each.connections;
    }
    void operator()(const core::member_settings &each) const
    {
        element["zone"] = each.zone.value;
        element["address"] = each.address;
    }
    void operator()(const core::workspace_section &each) const
    {
        json groups = json::array();
        for (const core::group_id &group : each.groups)
            groups.push_back(group.value);
        element["groups"] = std::move(groups);
    }
    void operator()(const core::rate_section &each) const
    {
        element["rate"] = each.rate;
        element["burst"] = each.burst;
    }
    void operator()(const core::key_section & /*each*/) const { }
    void operator()(const core::read_class &each) const
    {
        element["max_age_ms"] = each.maxAge.count();
    }
    void operator()(const core::switch_section &each) const { element["on"] = each.isOn; }
};

json toJson(const std::map<section, section_value> &entries)
{
    json list = json::array();
    for (const auto &[where, value] : entries) {
        json element = toJson(where);
        std::visit(value_writer{ element }, value);
        list.push_back(std::move(element));
    }
    return list;
}

json toJson(const core::section_changes &changes)
{
    json withdrawn = json::array();
    for (const section &where : changes.withdrawn)
        withdrawn.push_back(toJson(where));
    return { { "added", toJson(changes.added) },
             { "changed", toJson(changes.changed) },
             { "withdrawn", std::move(withdrawn) } };
}

section_value readValue(section_kind kind, object_reader &fields, json_problem &problem)
{
    switch (kind) {
    case section_kind::Group: {
        core::group_section value;
        fields.integer("slots", value.slots);
        fields.integer("connections", value.connections);
        return value;
    }
    case section_kind::Member: {
        core::member_settings value;
        fields.text("zone", value.zone.value);
        fields.text("address", value.address);
        return value;
    }
    case section_kind::Workspace: {
        core::workspace_section value;
        fields.forEachElement("groups", [&](const json &each, const std::string &at) {
            if (each.is_string())
                value.groups.push_back({ each.get<std::string>() });
            else
                problem.set(error_kind::WrongType, at, "must be a string");
        });
        std::sort(value.groups.begin(), value.groups.end());
        return value;
    }
    case section_kind::Rate: {
        core::rate_section value;
        fields.number("rate", value.rate);
        fields.number("burst", value.burst);
        return value;
    }
    case section_kind::Key:
        return core::key_section{};
    case section_kind::ReadClass: {
        std::uint32_t age = 0;
        fields.integer("max_age_ms", age);
        return core::read_class{ std::chrono::milliseconds(age) };
    }
    case section_kind::Switch: {
        core::switch_section value;
        fields.boolean("on", value.isOn);
        return value;
    }
    }
    return core::key_section{};
}

/// Reads one element and passes its section to @p add, with its content if @p hasValue. The
/// callback returns false if the section is already listed.
void readElement(const json &element, const std::string &path, bool hasValue, json_problem &problem,
                 const std::function<bool(const section &, const section_value &)> &add)
{
    object_reader fields(element, path, problem);
    std::string kindName;
    fields.text("section", kindName);
    if (problem.exists())
        return;
    const auto kind =
            std::find(core::sectionKindNames.begin(), core::sectionKindNames.end(), kindName);
    if (kind == core::sectionKindNames.end()) {
        problem.set(error_kind::InvalidValue, path + ".section",
                    "must be group, member, workspace, rate, key, read_class or switch");
        return;
    }
    section where{ static_cast<section_kind>(kind - core::sectionKindNames.begin()), {}, {} };
    fields.text(ownerField(where.kind), where.owner);
    if (const std::string_view field = nameField(where.kind); !field.empty())
        fields.text(field, where.name);
    section_value value = core::key_section{};
    if (hasValue)
        value = readValue(where.kind, fields, problem);
    fields.finish();
    if (!problem.exists() && !add(where, value))
        problem.set(error_kind::InvalidValue, path, toString(where) + " is listed twice");
}

void readLists(object_reader &fields, core::section_changes &changes, json_problem &problem)
{
    const auto readList = [&](std::string_view name, bool hasValue, const auto &add) {
        if (fields.find(name) == nullptr)
            return;
        fields.forEachElement(name, [&](const json &each, const std::string &at) {
            readElement(each, at, hasValue, problem, add);
        });
    };
    readList("added", true, [&](const section &where, const section_value &value) {
        return changes.added.emplace(where, value).second;
    });
    readList("changed", true, [&](const section &where, const section_value &value) {
        return changes.changed.emplace(where, value).second;
    });
    readList("withdrawn", false, [&](const section &where, const section_value & /*value*/) {
        return changes.withdrawn.insert(where).second;
    });
}

} // namespace

std::string writeNote(const core::release_note &note)
{
    json document = toJson(note.changes);
    document["id"] = note.id;
    document["base"] = note.base;
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string writeChanges(const core::section_changes &changes)
{
    return toJson(changes).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::error_code readNote(std::string_view text, core::release_note &note, std::string &problem)
{
    json_problem found;
    json document;
    core::release_note read;
    if (detail::parseStrict(text, document, found)) {
        object_reader fields(document, "", found);
        fields.text("id", read.id);
        fields.integer("base", read.base);
        readLists(fields, read.changes, found);
        fields.finish();
    }
    if (found.exists()) {
        problem = found.text;
        return found.error;
    }
    note = std::move(read);
    return {};
}

std::error_code readChanges(std::string_view text, core::section_changes &changes,
                            std::string &problem)
{
    json_problem found;
    json document;
    core::section_changes read;
    if (detail::parseStrict(text, document, found)) {
        object_reader fields(document, "", found);
        readLists(fields, read, found);
        fields.finish();
    }
    if (found.exists()) {
        problem = found.text;
        return found.error;
    }
    changes = std::move(read);
    return {};
}

const core::configuration_codec &configurationCodec()
{
    static const core::configuration_codec codec{ writeConfiguration, readConfiguration,
                                                  contentHashOf, writeNote };
    return codec;
}

} // namespace fuchsiagw::wire
