/// @file
/// @brief Membership of the cluster and distribution of configurations and freshness proofs.

#pragma once

#include <fuchsiagw/core/config_spread.hpp>
#include <fuchsiagw/core/config_store.hpp>
#include <fuchsiagw/core/gateway.hpp>
#include <fuchsiagw/core/membership.hpp>
#include <fuchsiagw/daemon/peer_messenger.hpp>
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
    std::function<void(peer_command &&)> toPeers;
    std::function<void(platform::platform_operation, platform_handler)> toPlatform;
    std::function<void(const core::configuration &)>
            onConfiguration; ///< called when a newer version is installed
    std::function<void()>
            onMembersChanged; ///< called when the set or state of known instances changes
};

/// Every function must be called on the thread of gateway_driver. Data members are public for
/// status reports and are changed by the member functions only.
class cluster
{
public:
    cluster(core::gateway &gateway, const settings &values, log_sink &log, cluster_outputs outputs);

    void start(core::time_point now);
    void tick(core::time_point now);

    void onHeard(const sender_info_received &event, core::time_point now);
    void onDigest(core::incarnation_id from, const digest &message, core::time_point now);
    void onProbe(core::incarnation_id from, const wire::probe_message &message,
                 core::time_point now);
    void onConfigurationReceived(const configuration_received &event, core::time_point now);
    void onConfigurationProgress(const configuration_progress &event, core::time_point now);
    void onConfigurationRequested(const configuration_requested &event);
    void onNoAnswer(const core::instance_id &instance, core::time_point now);

    /// @brief Installs a configuration version that a submit of this instance has created.
    void installVersion(const core::fetch_source &source, std::string_view body,
                        core::time_point now);

    /// @brief Sets whether a submit of this instance may have created a version that no other
    /// instance has received, see core::isUnresolved().
    void setUnresolvedSubmit(bool isUnresolved) { spread.hasUnresolvedSubmit = isUnresolved; }

    /// @brief Sets the state of this instance and announces it to the instances of its zone.
    void setState(core::sender_state state, core::time_point now);

    /// @return the live instances. An instance that has not sent a message yet has incarnation 0
    /// and counts only when limits are divided between instances.
    [[nodiscard]] std::vector<core::peer_ref> livePeers() const;

    [[nodiscard]] const core::known_instance *find(core::incarnation_id incarnation) const;

    [[nodiscard]] core::configuration_codec codec() const;

    core::membership members;
    core::spread_state spread;
    core::config_store store;
    core::instance_list list; ///< last instance list that the platform returned
    bool isPlatformReachable = false;

private:
    void requestInstanceList(core::time_point now);
    void applyInstanceList(core::instance_list &&newList, core::time_point now);
    void sendProbes(core::time_point now);
    void perform(std::vector<core::spread_action> &actions, core::time_point now);
    void readConfigurationRow(std::uint64_t root, std::uint64_t roundNumber);
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
    core::time_point nextListAt_;
    core::time_point nextSeedProbeAt_;
    bool hasList_ = false;
};

} // namespace fuchsiagw::daemon
