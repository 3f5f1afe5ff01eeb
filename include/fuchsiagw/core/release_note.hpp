/// @file
/// @brief Release notes, the only means to change the configuration.
///
/// A note lists the sections that it adds, changes and withdraws. It is applied only if its list is
/// exactly the difference between the configurations before and after it.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/error_kind.hpp>

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <variant>

namespace fuchsiagw::core {

enum class section_kind : std::uint8_t {
    Group, ///< slots and connections of a group
    Member,
    Workspace, ///< groups that a workspace may use
    Rate, ///< rate and burst of a workspace; every workspace has exactly one
    Key,
    ReadClass,
    Switch,
};

inline constexpr std::array<std::string_view, 7> sectionKindNames{ "group", "member", "workspace",
                                                                   "rate",  "key",    "read_class",
                                                                   "switch" };

[[nodiscard]] constexpr std::string_view toString(section_kind kind)
{
    return sectionKindNames.at(static_cast<std::size_t>(kind));
}

/// Identifies one section of a configuration.
struct section
{
    section_kind kind = section_kind::Group;
    std::string owner; ///< group, workspace or switch
    std::string name; ///< member, key hash or read class; empty for the other kinds

    friend bool operator==(const section &, const section &) = default;
    friend bool operator<(const section &left, const section &right)
    {
        return std::tie(left.kind, left.owner, left.name)
               < std::tie(right.kind, right.owner, right.name);
    }
};

struct group_section
{
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;

    friend bool operator==(const group_section &, const group_section &) = default;
};

struct workspace_section
{
    std::vector<group_id> groups; ///< ascending

    friend bool operator==(const workspace_section &, const workspace_section &) = default;
};

struct rate_section
{
    double rate = 0;
    double burst = 0;

    friend bool operator==(const rate_section &, const rate_section &) = default;
};

/// A key has no content besides its hash.
struct key_section
{
    friend bool operator==(const key_section &, const key_section &) = default;
};

struct switch_section
{
    bool isOn = true;

    friend bool operator==(const switch_section &, const switch_section &) = default;
};

/// Content of a section; the alternatives are in the order of section_kind.
using section_value = std::variant<group_section, member_settings, workspace_section, rate_section,
                                   key_section, read_class, switch_section>;

/// Difference between two configurations. Invariant: a section occurs in at most one of the three
/// lists, and its value holds the alternative that belongs to its kind.
struct section_changes
{
    std::map<section, section_value> added;
    std::map<section, section_value> changed;
    std::set<section> withdrawn;

    [[nodiscard]] bool empty() const
    {
        return added.empty() && changed.empty() && withdrawn.empty();
    }
    friend bool operator==(const section_changes &, const section_changes &) = default;
};

struct release_note
{
    std::string id; ///< a valid name; at most one note with this id is ever applied
    configuration_version base = 0; ///< version to which the note applies
    section_changes changes;

    friend bool operator==(const release_note &, const release_note &) = default;
};

/// Why a note was not applied.
struct note_problem
{
    error_kind kind = error_kind::NoteInvalid; ///< NoteInvalid, NoteConflict or NoteNotExact
    std::string text; ///< human-readable
    section_changes actual; ///< for NoteNotExact: the difference that the note really makes
};

/// @return a human-readable name, such as "member m1 of group hire"; key hashes are shortened
[[nodiscard]] std::string toString(const section &where);

/// @return a human-readable value, such as "rate 5, burst 10"; empty for keys
[[nodiscard]] std::string toString(const section_value &value);

/// @return every section in force, with its content
/// @complexity linear in the size of @p config, times the logarithm of its sections
[[nodiscard]] std::map<section, section_value> sectionsOf(const configuration &config);

/// @return the changes that turn @p from into @p to
/// @complexity linear in the sizes, times the logarithm of the sections
[[nodiscard]] section_changes diffConfigurations(const configuration &from,
                                                 const configuration &to);

/// @brief Applies a note to the newest configuration.
/// @param base the newest configuration
/// @param result the next version; set only on success
/// @param problem set only on failure
/// @return NoteConflict if @p note names another base; NoteInvalid if the result breaks an
/// invariant; NoteNotExact if the list differs from the difference that the note makes
/// @complexity linear in the size of @p base, times the logarithm of its sections
[[nodiscard]] std::error_code applyNote(const configuration &base, const release_note &note,
                                        configuration &result, note_problem &problem);

} // namespace fuchsiagw::core
