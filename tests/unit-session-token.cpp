/// @file
/// @brief Tests of session tokens and of callers' keys.

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/wire/key_hash.hpp>
#include <fuchsiagw/wire/session_token.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;

namespace {

core::session sessionOf(std::size_t groups, std::size_t nameLength)
{
    core::session state{ { std::string(nameLength, 'w') }, {}, false };
    for (std::size_t i = 0; i < groups; ++i) {
        std::string name(nameLength, 'g');
        name.back() = static_cast<char>('a' + i);
        core::recordWrite(state, { name }, { ~0ULL, ~0ULL - i });
    }
    return state;
}

wire::token_keys keysOf(std::uint8_t current)
{
    return { { { 1, wire::deriveTokenKey("one") }, { 2, wire::deriveTokenKey("two") } }, current };
}

} // namespace

TEST_GROUP(session_token){};

// Guards against a token that loses a position or flag, or that exceeds the size of a cookie.
TEST(session_token, roundTripsAtEverySize)
{
    for (std::size_t groups = 0; groups <= core::maxSessionGroups; ++groups) {
        core::session state = sessionOf(groups, core::maxNameLength);
        state.isPartial = groups % 2 == 1;
        const std::string token = wire::seal(state, keysOf(1));
        CHECK_TRUE(token.size() <= wire::maxTokenLength);
        core::session read;
        CHECK_FALSE(wire::open(token, keysOf(1), read));
        CHECK_TRUE(read == state);
    }
}

// Guards against a forged position or workspace, because the MAC does not cover a field or the
// base64 text has several valid spellings.
TEST(session_token, rejectsEveryChange)
{
    const std::string token = wire::seal(sessionOf(2, 5), keysOf(1));
    core::session read;
    for (std::size_t i = 0; i < token.size(); ++i) {
        std::string changed = token;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        CHECK_TRUE(static_cast<bool>(wire::open(changed, keysOf(1), read)));
        CHECK_TRUE(static_cast<bool>(wire::open(token.substr(0, i), keysOf(1), read)));
    }
    for (const std::string &text : { token + "A", token + "=", std::string(5000, 'A') })
        CHECK_TRUE(static_cast<bool>(wire::open(text, keysOf(1), read)));
    CHECK_TRUE(read == core::session{});
}

// Guards against a key rotation that invalidates sessions, because tokens under the old key are
// rejected before the key is removed.
TEST(session_token, oldKeyIsAcceptedUntilItIsRemoved)
{
    const std::string token = wire::seal(sessionOf(1, 5), keysOf(1));
    core::session read;
    CHECK_FALSE(wire::open(token, keysOf(2), read));
    wire::token_keys rotated = keysOf(2);
    rotated.keys.erase(1);
    CHECK_TRUE(wire::open(token, rotated, read) == core::error_kind::MessageForeign);
}

TEST_GROUP(key_hash){};

// Guards against a hash function that changes between releases: no configured hash would match, and
// every caller would be rejected.
TEST(key_hash, isStableAndKeysAreDistinct)
{
    STRCMP_EQUAL("0e5751c026e543b2e8ab2eb06099daa1d1e5df47778f7787faab45cdf12fe3a8",
                 wire::hashKey("").c_str());
    const std::string key = wire::createKey();
    CHECK_TRUE(key.starts_with(wire::keyPrefix));
    LONGS_EQUAL(47, key.size());
    CHECK_FALSE(key == wire::createKey());
    CHECK_TRUE(core::isKeyHash(wire::hashKey(key)));
}
