/// @file
/// @brief Challenges to operators and verification of their answers.

#include <fuchsiagw/wire/vouch.hpp>

#include <fuchsiagw/detail/strict_json.hpp>

#include <sodium.h>

#include <algorithm>

namespace fuchsiagw::wire {

namespace {

using core::error_kind;
using nlohmann::json;

constexpr std::size_t maxOpenChallenges = 16;
constexpr std::size_t challengeBytes = 16;
constexpr std::string_view keyContext = "fuchsiagw vouch key ";

std::string hex(const unsigned char *bytes, std::size_t size)
{
    std::string text(2 * size + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes, size);
    text.pop_back(); // sodium_bin2hex writes a terminating zero
    return text;
}

} // namespace

std::string computeVouchMac(std::string_view secretHash, const core::instance_id &instance,
                            std::string_view challenge, core::configuration_version version)
{
    const std::string keyText = std::string(keyContext) + std::string(secretHash);
    std::array<unsigned char, crypto_auth_KEYBYTES> key{};
    crypto_generichash(key.data(), key.size(),
                       reinterpret_cast<const unsigned char *>(keyText.data()), keyText.size(),
                       nullptr, 0);
    std::string text = instance.value;
    text.append("\n").append(challenge).append("\n").append(std::to_string(version));
    std::array<unsigned char, crypto_auth_BYTES> mac{};
    crypto_auth(mac.data(), reinterpret_cast<const unsigned char *>(text.data()), text.size(),
                key.data());
    return hex(mac.data(), mac.size());
}

admin_answer answerChallenge(vouch_challenges &challenges, const core::spread_state &spread,
                             core::configuration_version held, core::time_point now)
{
    std::array<unsigned char, challengeBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    challenges.open.push_back(
            { hex(bytes.data(), bytes.size()), spread.root, spread.roundNumber, now });
    if (challenges.open.size() > maxOpenChallenges)
        challenges.open.pop_front();
    const json body = { { "instance", spread.self.instance.value },
                        { "challenge", challenges.open.back().text },
                        { "version", held } };
    return { 200, body.dump() };
}

admin_answer answerVouch(vouch_challenges &challenges, core::spread_state &spread,
                         core::freshness &proofs, std::string_view body,
                         std::string_view secretHash, core::time_point now)
{
    detail::json_problem found;
    json document;
    std::string text;
    std::string mac;
    core::configuration_version version = 0;
    if (detail::parseStrict(body, document, found)) {
        detail::object_reader fields(document, "", found);
        fields.text("challenge", text);
        fields.integer("version", version);
        fields.text("mac", mac);
        fields.finish();
    }
    if (found.exists())
        return answerError(core::kindOf(found.error), found.text);
    const auto issued = std::find_if(
            challenges.open.begin(), challenges.open.end(),
            [&text](const vouch_challenges::challenge &each) { return each.text == text; });
    if (issued == challenges.open.end())
        return answerError(error_kind::InvalidValue,
                           "challenge: not issued or already used; ask for a new one");
    const std::string expected =
            computeVouchMac(secretHash, spread.self.instance, issued->text, version);
    if (mac.size() != expected.size()
        || sodium_memcmp(mac.data(), expected.data(), mac.size()) != 0)
        return answerError(error_kind::OperatorDenied, "mac: does not fit the statement");
    core::onOperatorProof(spread, proofs, issued->root, issued->roundNumber, version,
                          issued->issuedAt);
    challenges.open.erase(issued);
    const bool isProven = core::isProven(proofs, now);
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            isProven ? core::proofExpiresAt(proofs) - now : core::duration::zero());
    const json answer = { { "accepted", true },
                          { "proven", isProven },
                          { "proven_ms", remaining.count() },
                          { "version", proofs.heldVersion } };
    return { 200, answer.dump() };
}

} // namespace fuchsiagw::wire
