/// @file
/// @brief What this instance knows of the others, and how configurations and proofs reach it.

#pragma once

#include <fuchsiagw/core/config_spread.hpp>
#include <fuchsiagw/core/config_store.hpp>
#include <fuchsiagw/core/gateway.hpp>
#include <fuchsiagw/core/membership.hpp>
#include <fuchsiagw/daemon/peer_duty.hpp>
#include <fuchsiagw/daemon/settings.hpp>
#include <fuchsiagw/platform/platform_client.hpp>

#include <functional>
#include <string_view>
#include <vector>

namespace fuchsiagw::daemon {

class log_sink;

using platform_handler = std::function<void(platform::platform_result &&, core::time_point sentAt)>;

struct cluster_outputs
{
    std::function<void(peer_order &&)> toPeers;
    std::function<void(platform::platform_operation, platform_handler)> toPlatform;
    std::function<void(const core::configuration &)> onConfiguration; ///< a newer one is taken in
    std::function<void()> onMembers; ///< the known instances changed
};

/// Part of the decisions; lives on their thread. The state is public for reports, only the
/// functions change it.
class cluster
{
public:
    cluster(core::gateway &gateway, const settings &values, log_sink &log, cluster_outputs outputs);

    void start(core::time_point now);
    void tick(core::time_point now);

    void onHeard(const peer_heard &event, core::time_point now);
    void onDigest(core::incarnation_id from, const digest &message, core::time_point now);
    void onProbe(core::incarnation_id from, const wire::probe_message &message,
                 core::time_point now);
    void onConfigurationCame(const configuration_came &event, core::time_point now);
    void onConfigurationWanted(const configuration_wanted &event);
    void onNoAnswer(const core::instance_id &instance, core::time_point now);

    /// @brief Takes in a configuration that a submit of this instance has made.
    void installVersion(const core::fetch_source &source, std::string_view body,
                        core::time_point now);

    /// @brief Sets whether a version may exist that only a submit of this instance knows of, see
    /// core::isUnresolved().
    void setUnresolvedSubmit(bool isUnresolved) { spread.hasUnresolvedSubmit = isUnresolved; }

    /// @brief Tells the others what this instance is about to do.
    void setState(core::sender_state state, core::time_point now);

    /// @return the live instances; those not heard yet have incarnation 0 and count for fair parts
    /// only
    [[nodiscard]] std::vector<core::peer_ref> livePeers() const;

    [[nodiscard]] const core::known_instance *find(core::incarnation_id incarnation) const;

    [[nodiscard]] core::configuration_codec codec() const;

    core::membership members;
    core::spread_state spread;
    core::config_store store;
    core::instance_list list; ///< newest copy of the platform's list
    bool isPlatformReachable = false;

private:
    void readList(core::time_point now);
    void takeList(core::instance_list &&newList, core::time_point now);
    void listen(core::time_point now);
    void perform(std::vector<core::spread_action> &actions, core::time_point now);
    void readVersion(std::uint64_t root, std::uint64_t roundNumber);
    void fetch(const core::fetch_source &source);
    void apply(const std::vector<core::membership_change> &changes, core::time_point now);
    void updatePeers();
    void updateTree(core::time_point now);
    [[nodiscard]] wire::sender_info senderInfo() const;

    core::gateway &gateway_;
    const settings &settings_;
    log_sink &log_;
    cluster_outputs outputs_;
    core::sender_state state_ = core::sender_state::Live;
    core::time_point nextList_;
    core::time_point nextSeedProbe_;
    bool hasList_ = false;
};

} // namespace fuchsiagw::daemon
