/// @file
/// @brief Check of a caller's API key.

#include <fuchsiagw/core/key_check.hpp>

namespace fuchsiagw::core {

key_index indexKeys(const configuration &config)
{
    key_index index;
    for (const auto &[hash, workspace] : config.retiredKeys)
        index[hash] = { workspace, key_state::Withdrawn };
    for (const auto &[workspace, settings] : config.workspaces) {
        for (const auto &[hash, state] : settings.keys) {
            key_entry &entry = index[hash];
            // A hash in two workspaces violates an invariant of the configuration. The key is
            // refused so that it can't reach the wrong workspace.
            const bool isRepeated = !entry.workspace.empty();
            entry = { workspace, isRepeated ? key_state::Withdrawn : state };
        }
    }
    return index;
}

key_decision checkKey(const key_index &index, const key_hash &hash, const freshness &proof,
                      time_point now)
{
    const auto entry = index.find(hash);
    if (entry != index.end() && entry->second.state == key_state::Withdrawn)
        return { error_kind::KeyWithdrawn, {} };
    if (!isProven(proof, now))
        return { error_kind::KeyUnproven, {} };
    if (entry == index.end())
        return { error_kind::KeyUnknown, {} };
    return { std::nullopt, entry->second.workspace };
}

} // namespace fuchsiagw::core
