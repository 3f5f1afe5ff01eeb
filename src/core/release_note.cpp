/// @file
/// @brief Applies release notes, and rejects a note whose list of changes differs from the changes
/// that it makes.

#include <fuchsiagw/core/release_note.hpp>

#include <algorithm>
#include <cassert>
#include <charconv>

namespace fuchsiagw::core {

namespace {

constexpr std::size_t shownHashLength = 12;

std::error_code rejectNote(note_problem &problem, error_kind kind, std::string text)
{
    problem = { kind, std::move(text), {} };
    return kind;
}

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value);
    return { text.data(), end.ptr };
}

/// Finds the workspace to which a key hash belongs or belonged.
const workspace_id *findKeyOwner(const configuration &config, const key_hash &hash)
{
    const auto retired = config.retiredKeys.find(hash);
    if (retired != config.retiredKeys.end())
        return &retired->second;
    for (const auto &[id, settings] : config.workspaces) {
        if (settings.keys.contains(hash))
            return &id;
    }
    return nullptr;
}

void withdrawSection(configuration &config, const section &where)
{
    const auto workspace = config.workspaces.find({ where.owner });
    const auto group = config.groups.find({ where.owner });
    switch (where.kind) {
    case section_kind::Group:
        config.groups.erase({ where.owner });
        break;
    case section_kind::Member:
        if (group != config.groups.end())
            group->second.members.erase({ where.name });
        break;
    case section_kind::Workspace:
        if (workspace != config.workspaces.end()) {
            for (const auto &[hash, state] : workspace->second.keys)
                config.retiredKeys[hash] = workspace->first;
            config.workspaces.erase(workspace);
        }
        break;
    case section_kind::Key:
        if (workspace != config.workspaces.end() && workspace->second.keys.contains(where.name))
            workspace->second.keys[where.name] = key_state::Withdrawn;
        break;
    case section_kind::ReadClass:
        if (workspace != config.workspaces.end())
            workspace->second.readClasses.erase(where.name);
        break;
    case section_kind::Rate: // removed together with its workspace
    case section_kind::Switch: // can't be removed
        break;
    }
}

bool needsWorkspace(section_kind kind)
{
    return kind == section_kind::Rate || kind == section_kind::Key
           || kind == section_kind::ReadClass;
}

/// Adds or replaces a section.
/// @return the problem if the section can't be written; otherwise empty
std::string writeSection(configuration &config, const section &where, const section_value &value)
{
    if (value.index() != static_cast<std::size_t>(where.kind))
        return "the content of " + toString(where) + " is of another kind";
    const auto workspace = config.workspaces.find({ where.owner });
    if (needsWorkspace(where.kind) && workspace == config.workspaces.end())
        return "there is no workspace '" + where.owner + "' for the " + toString(where);
    switch (where.kind) {
    case section_kind::Group: {
        const auto &content = std::get<group_section>(value);
        group_settings &group = config.groups[{ where.owner }];
        group.slots = content.slots;
        group.connections = content.connections;
        break;
    }
    case section_kind::Member: {
        const auto group = config.groups.find({ where.owner });
        if (group == config.groups.end())
            return "there is no group '" + where.owner + "' for the " + toString(where);
        group->second.members[{ where.name }] = std::get<member_settings>(value);
        break;
    }
    case section_kind::Workspace:
        config.workspaces[{ where.owner }].groups = std::get<workspace_section>(value).groups;
        break;
    case section_kind::Rate:
        workspace->second.rate = std::get<rate_section>(value).rate;
        workspace->second.burst = std::get<rate_section>(value).burst;
        break;
    case section_kind::Key: {
        const workspace_id *owner = findKeyOwner(config, where.name);
        if (owner != nullptr)
            return "the " + toString(where) + " was issued to workspace '" + owner->value
                   + "' before; create another key";
        workspace->second.keys[where.name] = key_state::Valid;
        break;
    }
    case section_kind::ReadClass:
        workspace->second.readClasses[where.name] = std::get<read_class>(value);
        break;
    case section_kind::Switch: {
        const auto action =
                std::find(automaticActionNames.begin(), automaticActionNames.end(), where.owner);
        if (action == automaticActionNames.end())
            return "there is no switch '" + where.owner + "'";
        config.switches[static_cast<automatic_action>(action - automaticActionNames.begin())] =
                std::get<switch_section>(value).isOn;
        break;
    }
    }
    return {};
}

std::string findListProblem(const release_note &note)
{
    if (!isName(note.id))
        return "the note's id must be 1 to 63 letters, digits, '-', '_' or '.'";
    if (note.changes.empty())
        return "the note lists no change";
    for (const auto &[where, value] : note.changes.added) {
        if (note.changes.changed.contains(where) || note.changes.withdrawn.contains(where))
            return "the " + toString(where) + " is in two lists";
    }
    for (const auto &[where, value] : note.changes.changed) {
        if (note.changes.withdrawn.contains(where))
            return "the " + toString(where) + " is in two lists";
        if (where.kind == section_kind::Key)
            return "the " + toString(where) + " can't be changed; withdraw it and add another";
    }
    return {};
}

template <typename list>
const section &entrySection(const list &entry)
{
    if constexpr (std::is_same_v<list, section>)
        return entry;
    else
        return entry.first;
}

template <typename list>
void appendListDifferences(std::string_view verb, const list &listed, const list &actual,
                           std::string &text)
{
    const auto add = [&](std::string_view what, const section &where) {
        text.append(text.empty() ? "" : "; ").append(toString(where)).append(what).append(verb);
    };
    for (const auto &each : listed) {
        if (!actual.contains(entrySection(each)))
            add(" is listed but not ", entrySection(each));
    }
    for (const auto &each : actual) {
        if (!listed.contains(entrySection(each)))
            add(" is not listed but ", entrySection(each));
    }
}

} // namespace

std::string toString(const section &where)
{
    std::string kind(toString(where.kind));
    std::replace(kind.begin(), kind.end(), '_', ' ');
    switch (where.kind) {
    case section_kind::Member:
        return kind + " " + where.name + " of group " + where.owner;
    case section_kind::Key:
        return kind + " " + where.name.substr(0, shownHashLength) + " of workspace " + where.owner;
    case section_kind::ReadClass:
        return kind + " " + where.name + " of workspace " + where.owner;
    case section_kind::Rate:
        return kind + " of workspace " + where.owner;
    default:
        return kind + " " + where.owner;
    }
}

std::string toString(const section_value &value)
{
    struct visitor
    {
        std::string operator()(const group_section &each) const
        {
            return "slots " + std::to_string(each.slots) + ", connections "
                   + std::to_string(each.connections);
        }
        std::string operator()(const member_settings &each) const
        {
            return "zone " + each.zone.value + ", address " + each.address;
        }
        std::string operator()(const workspace_section &each) const
        {
            std::string text = "groups";
            for (const group_id &group : each.groups)
                text.append(" ").append(group.value);
            return each.groups.empty() ? "no groups" : text;
        }
        std::string operator()(const rate_section &each) const
        {
            return "rate " + formatNumber(each.rate) + ", burst " + formatNumber(each.burst);
        }
        std::string operator()(const key_section & /*each*/) const { return {}; }
        std::string operator()(const read_class &each) const
        {
            return "age up to " + std::to_string(each.maxAge.count()) + " ms";
        }
        std::string operator()(const switch_section &each) const
        {
            return each.isOn ? "on" : "off";
        }
    };
    return std::visit(visitor{}, value);
}

std::map<section, section_value> sectionsOf(const configuration &config)
{
    std::map<section, section_value> sections;
    for (const auto &[id, group] : config.groups) {
        sections[{ section_kind::Group, id.value, {} }] =
                group_section{ group.slots, group.connections };
        for (const auto &[member, settings] : group.members)
            sections[{ section_kind::Member, id.value, member.value }] = settings;
    }
    for (const auto &[id, workspace] : config.workspaces) {
        sections[{ section_kind::Workspace, id.value, {} }] = workspace_section{ workspace.groups };
        sections[{ section_kind::Rate, id.value, {} }] =
                rate_section{ workspace.rate, workspace.burst };
        for (const auto &[hash, state] : workspace.keys) {
            if (state == key_state::Valid)
                sections[{ section_kind::Key, id.value, hash }] = key_section{};
        }
        for (const auto &[name, settings] : workspace.readClasses)
            sections[{ section_kind::ReadClass, id.value, name }] = settings;
    }
    for (std::size_t i = 0; i < automaticActionNames.size(); ++i) {
        const auto entry = config.switches.find(static_cast<automatic_action>(i));
        sections[{ section_kind::Switch, std::string(automaticActionNames.at(i)), {} }] =
                switch_section{ entry == config.switches.end() || entry->second };
    }
    return sections;
}

section_changes diffConfigurations(const configuration &from, const configuration &to)
{
    section_changes changes;
    const std::map<section, section_value> before = sectionsOf(from);
    const std::map<section, section_value> after = sectionsOf(to);
    for (const auto &[where, value] : after) {
        const auto old = before.find(where);
        if (old == before.end())
            changes.added.emplace(where, value);
        else if (old->second != value)
            changes.changed.emplace(where, value);
    }
    for (const auto &[where, value] : before) {
        if (!after.contains(where))
            changes.withdrawn.insert(where);
    }
    return changes;
}

std::error_code applyNote(const configuration &base, const release_note &note,
                          configuration &result, note_problem &problem)
{
    if (std::string text = findListProblem(note); !text.empty())
        return rejectNote(problem, error_kind::NoteInvalid, std::move(text));
    if (note.base != base.version)
        return rejectNote(problem, error_kind::NoteConflict,
                          "the note changes version " + std::to_string(note.base)
                                  + ", the newest is version " + std::to_string(base.version));
    configuration next = base;
    for (const section &where : note.changes.withdrawn)
        withdrawSection(next, where);
    for (const auto *entries : { &note.changes.added, &note.changes.changed }) {
        for (const auto &[where, value] : *entries) {
            if (std::string text = writeSection(next, where, value); !text.empty())
                return rejectNote(problem, error_kind::NoteInvalid, std::move(text));
        }
    }
    const section_changes actual = diffConfigurations(base, next);
    if (actual != note.changes) {
        std::string text;
        appendListDifferences("added", note.changes.added, actual.added, text);
        appendListDifferences("changed", note.changes.changed, actual.changed, text);
        appendListDifferences("withdrawn", note.changes.withdrawn, actual.withdrawn, text);
        problem = { error_kind::NoteNotExact, std::move(text), actual };
        return error_kind::NoteNotExact;
    }
    next.version = base.version + 1;
    if (std::string text = findProblem(next); !text.empty())
        return rejectNote(problem, error_kind::NoteInvalid, std::move(text));
    // A withdrawn key never becomes valid again, so every retired key stays retired.
    assert(std::all_of(base.retiredKeys.begin(), base.retiredKeys.end(), [&next](const auto &each) {
        return next.retiredKeys.contains(each.first);
    }));
    result = std::move(next);
    return {};
}

} // namespace fuchsiagw::core
