/// @file
/// @brief Tests of the application of release notes.

#include <fuchsiagw/core/release_note.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;

namespace {

const key_hash firstKey(keyHashLength, 'a');
const key_hash secondKey(keyHashLength, 'b');
const section workspaceRef{ section_kind::Workspace, "cafe", "" };
const section rateRef{ section_kind::Rate, "cafe", "" };
const section firstKeyRef{ section_kind::Key, "cafe", firstKey };
const section secondKeyRef{ section_kind::Key, "cafe", secondKey };
const section memberRef{ section_kind::Member, "hire", "m1" };
const section loansRef{ section_kind::Switch, "loans", "" };

configuration exampleConfiguration()
{
    configuration config;
    config.version = 3;
    config.groups[{ "hire" }] = { { { { "m1" }, { { "heredia" }, "127.0.0.1:9001" } } }, 2, 16 };
    workspace_settings &workspace = config.workspaces[{ "cafe" }];
    workspace.rate = 5;
    workspace.burst = 10;
    workspace.groups = { { "hire" } };
    workspace.keys[firstKey] = key_state::Valid;
    return config;
}

error_kind kindOfApplying(const configuration &base, const section_changes &list)
{
    configuration result;
    note_problem problem;
    const std::error_code error = applyNote(base, { "n1", base.version, list }, result, problem);
    CHECK_TRUE(static_cast<bool>(error));
    CHECK_TRUE(error == problem.kind);
    CHECK_FALSE(problem.text.empty());
    CHECK_TRUE(result == configuration{});
    return problem.kind;
}

configuration applied(const configuration &base, const section_changes &list)
{
    configuration result;
    note_problem problem;
    const std::error_code error = applyNote(base, { "n1", base.version, list }, result, problem);
    CHECK_TEXT(!error, problem.text.c_str());
    CHECK_TRUE(diffConfigurations(base, result) == list);
    LONGS_EQUAL(base.version + 1, result.version);
    return result;
}

} // namespace

TEST_GROUP(release_note){};

// Guards against a kind of section that a note can't add, change or withdraw.
TEST(release_note, appliesEveryKindOfSection)
{
    section_changes list;
    list.added[{ section_kind::Workspace, "mesa", "" }] = workspace_section{ { { "hire" } } };
    list.added[{ section_kind::Rate, "mesa", "" }] = rate_section{ 1.5, 3 };
    list.added[{ section_kind::Key, "mesa", secondKey }] = key_section{};
    list.added[{ section_kind::ReadClass, "mesa", "menu" }] =
            read_class{ std::chrono::milliseconds(200) };
    list.added[{ section_kind::Member, "hire", "m2" }] =
            member_settings{ { "cartago" }, "127.0.0.1:9002" };
    list.changed[{ section_kind::Group, "hire", "" }] = group_section{ 4, 20 };
    list.changed[rateRef] = rate_section{ 6, 10 };
    list.changed[loansRef] = switch_section{ false };
    list.withdrawn = { firstKeyRef };
    const configuration result = applied(exampleConfiguration(), list);
    CHECK_TRUE(result.workspaces.at({ "cafe" }).keys.at(firstKey) == key_state::Withdrawn);
    CHECK_FALSE(isAutomatic(result, automatic_action::Loans));
}

// Guards against a change that the operator did not list, and against a listed change without
// effect.
TEST(release_note, listMustBeTheExactDifference)
{
    const configuration base = exampleConfiguration();
    section_changes sameValue;
    sameValue.changed[rateRef] = rate_section{ 5, 10 };
    section_changes wrongList;
    wrongList.added[rateRef] = rate_section{ 6, 10 };
    section_changes absent;
    absent.withdrawn = { secondKeyRef };
    section_changes partial; // withdraws the workspace without listing its rate and key
    partial.withdrawn = { workspaceRef };
    section_changes switchAdded;
    switchAdded.added[loansRef] = switch_section{ false };
    for (const section_changes &list : { sameValue, wrongList, absent, partial, switchAdded })
        CHECK_TRUE(kindOfApplying(base, list) == error_kind::NoteNotExact);
}

// Guards against a withdrawn key that becomes valid again, either directly or after its workspace
// is deleted and created again.
TEST(release_note, withdrawnKeyNeverReturns)
{
    section_changes withdrawKey;
    withdrawKey.withdrawn = { firstKeyRef };
    section_changes issueKey;
    issueKey.added[firstKeyRef] = key_section{};
    CHECK_TRUE(kindOfApplying(applied(exampleConfiguration(), withdrawKey), issueKey)
               == error_kind::NoteInvalid);

    section_changes withdrawAll;
    withdrawAll.withdrawn = { workspaceRef, rateRef, firstKeyRef };
    const configuration closed = applied(exampleConfiguration(), withdrawAll);
    CHECK_TRUE(closed.retiredKeys.contains(firstKey));
    section_changes again;
    again.added[workspaceRef] = workspace_section{};
    again.added[rateRef] = rate_section{ 1, 1 };
    again.added[firstKeyRef] = key_section{};
    CHECK_TRUE(kindOfApplying(closed, again) == error_kind::NoteInvalid);
    again.added.erase(firstKeyRef);
    again.added[secondKeyRef] = key_section{};
    CHECK_TRUE(applied(closed, again).workspaces.contains({ "cafe" }));
}

// Guards against a note whose result violates an invariant of the configuration.
TEST(release_note, refusesInvalidResults)
{
    const configuration base = exampleConfiguration();
    section_changes rateZero;
    rateZero.changed[rateRef] = rate_section{ 0, 10 };
    section_changes noMember;
    noMember.withdrawn = { memberRef };
    section_changes groupInUse;
    groupInUse.withdrawn = { memberRef, { section_kind::Group, "hire", "" } };
    section_changes sharedKey;
    sharedKey.added[{ section_kind::Workspace, "mesa", "" }] = workspace_section{};
    sharedKey.added[{ section_kind::Rate, "mesa", "" }] = rate_section{ 1, 1 };
    sharedKey.added[{ section_kind::Key, "mesa", firstKey }] = key_section{};
    section_changes sameMember;
    sameMember.added[{ section_kind::Group, "loan", "" }] = group_section{ 1, 1 };
    sameMember.added[{ section_kind::Member, "loan", "m1" }] =
            member_settings{ { "heredia" }, "127.0.0.1:9009" };
    section_changes noOwner;
    noOwner.added[{ section_kind::ReadClass, "nobody", "x" }] = read_class{};
    section_changes twice;
    twice.changed[rateRef] = rate_section{ 6, 10 };
    twice.withdrawn = { rateRef };
    section_changes wrongKind;
    wrongKind.changed[rateRef] = switch_section{ true };
    section_changes noSwitch;
    noSwitch.changed[{ section_kind::Switch, "all-day", "" }] = switch_section{ false };
    for (const section_changes &list : { rateZero, noMember, groupInUse, sharedKey, sameMember,
                                         noOwner, twice, wrongKind, noSwitch, section_changes{} })
        CHECK_TRUE(kindOfApplying(base, list) == error_kind::NoteInvalid);
}

// Guards against a note that overwrites a change which another operator made after the note's base.
TEST(release_note, baseMustBeTheNewest)
{
    configuration result;
    note_problem problem;
    release_note note{ "n1", 2, {} };
    note.changes.changed[rateRef] = rate_section{ 6, 10 };
    CHECK_TRUE(applyNote(exampleConfiguration(), note, result, problem)
               == error_kind::NoteConflict);
}
