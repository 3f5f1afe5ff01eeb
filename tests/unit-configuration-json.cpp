/// @file
/// @brief Tests of the JSON form of the configuration.

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/wire/configuration_json.hpp>

#include <CppUTest/TestHarness.h>

#include <tuple>
#include <vector>

using namespace fuchsiagw;
using core::error_kind;

namespace {

core::configuration exampleConfiguration()
{
    core::configuration config;
    config.version = 12;
    config.groups[{ "hire" }] = { { { { "m1" }, { { "heredia" }, "127.0.0.1:9001" } } }, 2, 16 };
    core::workspace_settings &workspace = config.workspaces[{ "libros-hire" }];
    workspace.rate = 0.1;
    workspace.burst = 1e6;
    workspace.groups = { { "hire" } };
    workspace.readClasses["catalogue"].maxAge = std::chrono::milliseconds(1500);
    workspace.keys[core::key_hash(core::keyHashLength, 'a')] = core::key_state::Withdrawn;
    config.switches[core::automatic_action::Loans] = false;
    config.retiredKeys[core::key_hash(core::keyHashLength, 'b')] = { "closed" };
    return config;
}

} // namespace

TEST_GROUP(configuration_json){};

// Guards against a field that only the writer or only the parser handles, and against two documents
// for one configuration, which would have two object names.
TEST(configuration_json, roundTripsCanonically)
{
    const core::configuration config = exampleConfiguration();
    const std::string text = wire::writeConfiguration(config);
    core::configuration read;
    std::string problem;
    CHECK_FALSE(wire::readConfiguration(text, read, problem));
    CHECK_TRUE(read == config);
    STRCMP_EQUAL(text.c_str(), wire::writeConfiguration(read).c_str());
}

// Guards against a lenient parser: each malformed document must be rejected with the path of the
// field.
TEST(configuration_json, namesThePathOfEveryProblem)
{
    const std::vector<std::tuple<std::string, std::string, error_kind, std::string>>
            malformations = {
                { R"("slots":2)", R"("slots":"2")", error_kind::WrongType, "groups.hire.slots" },
                { R"("slots":2)", R"("slots":-2)", error_kind::WrongType, "groups.hire.slots" },
                { R"("slots":2)", R"("slots":5000000000)", error_kind::InvalidValue,
                  "groups.hire.slots" },
                { R"("slots":2)", R"("slots":0)", error_kind::InvalidValue, "groups.hire.slots" },
                { R"("slots":2)", R"("slotz":2)", error_kind::MissingField, "groups.hire.slots" },
                { R"("slots":2)", R"("slots":2,"x":1)", error_kind::UnknownField, "groups.hire.x" },
                { R"("slots":2)", R"("slots":2,"slots":2)", error_kind::InvalidValue, "'slots'" },
                { R"("rate":0.1)", R"("rate":0)", error_kind::InvalidValue,
                  "workspaces.libros-hire.rate" },
                { R"("loans")", R"("lones")", error_kind::UnknownField, "switches.lones" },
                { R"("withdrawn")", R"("gone")", error_kind::InvalidValue,
                  "workspaces.libros-hire.keys" },
                { R"("version")", R"("version)", error_kind::MalformedBody, "JSON" },
                { R"(["hire"])", R"(["hire","hire"])", error_kind::InvalidValue,
                  "libros-hire.groups" },
                { R"(["hire"])", R"(["loan"])", error_kind::InvalidValue, "no group 'loan'" },
            };
    const std::string valid = wire::writeConfiguration(exampleConfiguration());
    for (const auto &[from, to, kind, path] : malformations) {
        std::string text = valid;
        const std::size_t at = text.find(from);
        CHECK_TRUE(at != std::string::npos);
        text.replace(at, from.size(), to);
        core::configuration read;
        std::string problem;
        const std::error_code error = wire::readConfiguration(text, read, problem);
        CHECK_TEXT(error == kind, (to + " gave " + problem).c_str());
        CHECK_TEXT(problem.find(path) != std::string::npos, problem.c_str());
        CHECK_TRUE(read == core::configuration{});
    }
}

// Guards against a key that two workspaces share, and against one that becomes valid again after
// its workspace was withdrawn.
TEST(configuration_json, keyHashBelongsToOneWorkspace)
{
    core::configuration config = exampleConfiguration();
    CHECK_TRUE(core::findProblem(config).empty());
    config.workspaces[{ "libros-hire" }].keys[core::key_hash(core::keyHashLength, 'b')] =
            core::key_state::Valid;
    CHECK_FALSE(core::findProblem(config).empty());
}
