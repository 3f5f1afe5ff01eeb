/// @file
/// @brief Tests of the JSON form of release notes.

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/wire/note_json.hpp>

#include <CppUTest/TestHarness.h>

#include <tuple>
#include <vector>

using namespace fuchsiagw;
using core::error_kind;
using core::section_kind;

namespace {

core::release_note exampleNote()
{
    core::release_note note{ "2026-12-04.a", 7, {} };
    note.changes.added[{ section_kind::Workspace, "cafe", "" }] =
            core::workspace_section{ { { "hire" }, { "loan" } } };
    note.changes.added[{ section_kind::Rate, "cafe", "" }] = core::rate_section{ 2.5, 9 };
    note.changes.added[{ section_kind::Key, "cafe", "ab" }] = core::key_section{};
    note.changes.changed[{ section_kind::Group, "hire", "" }] = core::group_section{ 2, 16 };
    note.changes.changed[{ section_kind::Member, "hire", "m1" }] =
            core::member_settings{ { "heredia" }, "127.0.0.1:9001" };
    note.changes.changed[{ section_kind::ReadClass, "cafe", "menu" }] =
            core::read_class{ std::chrono::milliseconds(40) };
    note.changes.changed[{ section_kind::Switch, "all", "" }] = core::switch_section{ false };
    note.changes.withdrawn = { { section_kind::Key, "cafe", "cd" },
                               { section_kind::Rate, "b", "" } };
    return note;
}

} // namespace

TEST_GROUP(note_json){};

// Guards against a section or value that only the writer or only the parser handles.
TEST(note_json, roundTrips)
{
    core::release_note read;
    std::string problem;
    CHECK_FALSE(wire::readNote(wire::writeNote(exampleNote()), read, problem));
    CHECK_TRUE(read == exampleNote());
    core::section_changes changes;
    CHECK_FALSE(wire::readChanges(wire::writeChanges(read.changes), changes, problem));
    CHECK_TRUE(changes == read.changes);
    CHECK_FALSE(wire::readNote(R"({"id":"a","base":0})", read, problem));
}

// Guards against a misspelled or repeated entry that is silently ignored.
TEST(note_json, namesThePathOfEveryProblem)
{
    const std::vector<std::tuple<std::string, error_kind, std::string>> malformedNotes = {
        { R"({"id":"a"})", error_kind::MissingField, "base" },
        { R"({"id":"a","base":-1})", error_kind::WrongType, "base" },
        { R"({"id":"a","base":1,"add":[]})", error_kind::UnknownField, "add" },
        { R"({"id":"a","base":1,"added":{}})", error_kind::WrongType, "added" },
        { R"({"id":"a","base":1,"added":[{"section":"kee"}]})", error_kind::InvalidValue,
          "added[0].section" },
        { R"({"id":"a","base":1,"added":[{"section":"key","workspace":"w"}]})",
          error_kind::MissingField, "added[0].hash" },
        { R"({"id":"a","base":1,"withdrawn":[{"section":"rate","workspace":"w","rate":1}]})",
          error_kind::UnknownField, "withdrawn[0].rate" },
        { R"({"id":"a","base":1,"withdrawn":[{"section":"group","group":"w"},)"
          R"({"section":"group","group":"w"}]})",
          error_kind::InvalidValue, "withdrawn[1]" },
    };
    for (const auto &[text, kind, path] : malformedNotes) {
        core::release_note read;
        std::string problem;
        const std::error_code error = wire::readNote(text, read, problem);
        CHECK_TEXT(error == kind, problem.c_str());
        CHECK_TEXT(problem.starts_with(path), problem.c_str());
        CHECK_TRUE(read == core::release_note{});
    }
}
