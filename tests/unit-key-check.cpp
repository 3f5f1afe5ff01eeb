/// @file
/// @brief Tests of the check of a caller's API key.

#include <fuchsiagw/core/key_check.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

namespace {

const key_hash validHash(keyHashLength, 'a');
const key_hash withdrawnHash(keyHashLength, 'b');
const key_hash retiredHash(keyHashLength, 'c');
const key_hash otherHash(keyHashLength, 'd');
const time_point start{ 1000s };

configuration exampleConfiguration()
{
    configuration config;
    config.version = 7;
    config.workspaces[{ "cafe" }].keys = { { validHash, key_state::Valid },
                                           { withdrawnHash, key_state::Withdrawn } };
    config.retiredKeys[retiredHash] = { "closed" };
    return config;
}

freshness provenAt(time_point at)
{
    freshness state;
    setHeldVersion(state, 7);
    addPlatformProof(state, 7, at);
    return state;
}

} // namespace

TEST_GROUP(key_check){};

// Guards against a key that is accepted for the wrong workspace, and against accepting a withdrawn,
// retired or unknown key.
TEST(key_check, findsTheWorkspaceFromTheKey)
{
    const key_index index = indexKeys(exampleConfiguration());
    const freshness proof = provenAt(start);
    const key_decision decision = checkKey(index, validHash, proof, start);
    CHECK_FALSE(decision.error.has_value());
    STRCMP_EQUAL("cafe", decision.workspace.value.c_str());
    CHECK_TRUE(checkKey(index, withdrawnHash, proof, start).error == error_kind::KeyWithdrawn);
    CHECK_TRUE(checkKey(index, retiredHash, proof, start).error == error_kind::KeyWithdrawn);
    CHECK_TRUE(checkKey(index, otherHash, proof, start).error == error_kind::KeyUnknown);
}

// Guards against an isolated instance that still accepts a key which was withdrawn in the meantime,
// and against its reporting a key as unknown which may have been issued in the meantime.
TEST(key_check, refusesWithoutAProof)
{
    const key_index index = indexKeys(exampleConfiguration());
    const freshness proof = provenAt(start);
    const time_point late = start + defaultProofLifetime;
    CHECK_FALSE(checkKey(index, validHash, proof, late - 1us).error.has_value());
    CHECK_TRUE(checkKey(index, validHash, proof, late).error == error_kind::KeyUnproven);
    CHECK_TRUE(checkKey(index, otherHash, proof, late).error == error_kind::KeyUnproven);
    CHECK_TRUE(checkKey(index, withdrawnHash, proof, late).error == error_kind::KeyWithdrawn);
    CHECK_TRUE(checkKey({}, validHash, freshness{}, start).error == error_kind::KeyUnproven);
}

// Guards against accepting a key whose hash is configured for two workspaces.
TEST(key_check, repeatedHashIsRefused)
{
    configuration config = exampleConfiguration();
    config.workspaces[{ "other" }].keys[validHash] = key_state::Valid;
    CHECK_TRUE(checkKey(indexKeys(config), validHash, provenAt(start), start).error
               == error_kind::KeyWithdrawn);
}
