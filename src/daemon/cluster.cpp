/// @file
/// @brief Membership, exchange of digests along the tree, and installation of configurations.

#include <utility>

#include <fuchsiagw/daemon/cluster.hpp>

#include <fuchsiagw/daemon/log_event.hpp>
#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/wire/configuration_json.hpp>
#include <fuchsiagw/wire/note_json.hpp>

#include <algorithm>
#include <set>

namespace fuchsiagw::daemon {

namespace {

/// The interval grows with the number of instances, which bounds the load on the platform: 1,600
/// instances cause 107 of the 2,000 reads/s that it serves.
constexpr core::duration minListInterval = std::chrono::seconds(1);
constexpr core::duration maxListInterval = std::chrono::seconds(15);
constexpr std::size_t instancesPerIntervalSecond = 100;
constexpr core::duration seedProbeInterval = std::chrono::seconds(1);
constexpr std::size_t maxProbesPerTick = 4;
/// Bounds the probe traffic to about 1 KB/s while incarnations of listed instances are unknown.
constexpr std::size_t maxUnknownProbesPerRound = 8;

/// Placeholder in the tree while the platform's instance list is unread: there may be instances
/// that this one does not know, so the known ones must not count as all instances.
const core::instance_id unlistedInstances{ "?" };

log_event toLogEvent(core::membership_event event)
{
    switch (event) {
    case core::membership_event::BecameLive:
        return log_event::PeerLive;
    case core::membership_event::BecameSuspected:
        return log_event::PeerSuspected;
    case core::membership_event::BecameLeaving:
        return log_event::PeerLeaving;
    case core::membership_event::BecameGone:
        return log_event::PeerGone;
    case core::membership_event::Restarted:
        break;
    }
    return log_event::PeerRestarted;
}

} // namespace

cluster::cluster(core::gateway &gateway, const settings &values, log_sink &log,
                 cluster_outputs outputs)
    : gateway_(gateway)
    , settings_(values)
    , log_(log)
    , outputs_(std::move(outputs))
{
    members.self = values.instance;
    members.zone = values.zone;
}

core::configuration_codec cluster::codec() const
{
    return { wire::writeConfiguration, wire::readConfiguration, wire::contentHashOf,
             wire::writeNote };
}

wire::sender_info cluster::senderInfo() const
{
    return { settings_.instance, settings_.zone, net::toString(settings_.peerAddress), state_ };
}

void cluster::start(core::time_point now)
{
    const core::tree_node self{ settings_.zone, settings_.instance };
    spread = core::startSpread(self, gateway_.incarnation, {}, now);
    nextListAt_ = now;
    nextSeedProbeAt_ = now;
    updateTree(now);
}

void cluster::tick(core::time_point now)
{
    if (now >= nextListAt_)
        requestInstanceList(now);
    sendProbes(now);
    apply(core::tickMembership(members, now), now);
    std::vector<core::spread_action> actions;
    core::tickSpread(spread, gateway_.proof, now, actions);
    perform(actions, now);
    if (const auto next = core::nextFetch(store, now))
        fetch(*next);
}

void cluster::sendProbes(core::time_point now)
{
    const wire::probe_message probe{ senderInfo(), false };
    for (const core::instance_id &each : core::dueProbes(members, maxProbesPerTick, now)) {
        if (const auto *known = core::findInstance(members, each))
            outputs_.toPeers(send_datagram{ known->address, 0, probe });
    }
    if (now < nextSeedProbeAt_)
        return;
    nextSeedProbeAt_ = now + seedProbeInterval;
    // Share loans, lease witnesses and group owners in other zones are addressed by incarnation. An
    // instance's incarnation is learned only from its own messages, so it is probed for one.
    std::size_t remainingProbes = maxUnknownProbesPerRound;
    for (const auto &[instance, known] : members.instances) {
        if (known.incarnation != 0 || remainingProbes == 0)
            continue;
        --remainingProbes;
        outputs_.toPeers(send_datagram{ known.address, 0, probe });
    }
    if (hasList_)
        return;
    for (const std::string &address : settings_.seeds)
        outputs_.toPeers(send_datagram{ address, 0, probe });
}

void cluster::requestInstanceList(core::time_point now)
{
    const auto seconds =
            static_cast<std::int64_t>(list.instances.size() / instancesPerIntervalSecond);
    nextListAt_ = now
                  + std::clamp<core::duration>(std::chrono::seconds(seconds), minListInterval,
                                               maxListInterval);
    outputs_.toPlatform(platform::list_instances{}, [this](platform::platform_result &&result,
                                                           core::time_point sentAt) {
        const bool wasReachable = std::exchange(isPlatformReachable, result.isAnswered);
        if (wasReachable != isPlatformReachable)
            logEvent(log_,
                     isPlatformReachable ? log_event::PlatformRegained : log_event::PlatformLost,
                     {});
        if (result.isAnswered)
            applyInstanceList(std::move(result.instances), sentAt);
    });
}

void cluster::applyInstanceList(core::instance_list &&newList, core::time_point now)
{
    list = std::move(newList);
    hasList_ = true;
    for (const core::instance_entry &each : list.instances) {
        if (each.kind != core::instance_kind::Upstream)
            continue;
        const core::member_id member{ each.instance.value };
        const bool isLeaving = each.state == core::instance_state::Leaving;
        for (auto &[group, owner] : gateway_.owners)
            core::observeLeaving(owner.view, member, isLeaving);
    }
    apply(core::onInstanceList(members, list, now), now);
    updateTree(now);
}

void cluster::updateTree(core::time_point now)
{
    std::vector<core::tree_node> live{ { settings_.zone, settings_.instance } };
    if (hasList_) {
        live.clear();
        for (const core::instance_entry &each : list.instances) {
            if (each.kind == core::instance_kind::Entry)
                live.push_back({ each.zone, each.instance });
        }
    } else {
        for (const auto &[instance, known] : members.instances)
            live.push_back({ known.zone, instance });
        live.push_back({ settings_.zone, unlistedInstances });
    }
    core::setLiveInstances(spread, live, now);
    std::set<core::instance_id> expected;
    for (const core::instance_id &each : spread.place.children)
        expected.insert(each);
    if (!spread.parent.empty())
        expected.insert(spread.parent);
    core::setExpected(members, expected, now);
}

void cluster::onHeard(const sender_info_received &event, core::time_point now)
{
    const wire::sender_info &sender = event.sender;
    const bool isNew = core::findInstance(members, sender.instance) == nullptr;
    apply(core::onHeard(
                  members,
                  { event.incarnation, sender.instance, sender.zone, sender.address, sender.state },
                  now),
          now);
    if (isNew && !hasList_)
        updateTree(now);
    const auto peer = gateway_.peers.find(sender.instance);
    if (peer != gateway_.peers.end() && peer->second.incarnation == event.incarnation)
        return;
    updatePeers();
    outputs_.onMembersChanged();
}

void cluster::onDigest(core::incarnation_id from, const digest &message, core::time_point now)
{
    const core::known_instance *sender = core::findIncarnation(members, from);
    if (sender == nullptr)
        return;
    std::vector<core::spread_action> actions;
    core::onSpreadMessage(spread, gateway_.proof, sender->instance, message.report, now, actions);
    perform(actions, now);
}

void cluster::onProbe(core::incarnation_id from, const wire::probe_message &message,
                      core::time_point)
{
    if (!message.isAnswer)
        outputs_.toPeers(send_datagram{ message.sender.address, from,
                                        wire::probe_message{ senderInfo(), true } });
}

void cluster::onNoAnswer(const core::instance_id &instance, core::time_point now)
{
    apply(core::onNoAnswer(members, instance, now), now);
}

void cluster::perform(std::vector<core::spread_action> &actions, core::time_point now)
{
    using kind = core::spread_action::kind;
    for (const core::spread_action &each : actions) {
        const core::known_instance *peer = core::findInstance(members, each.peer);
        if (each.what == kind::ReadPlatform) {
            readConfigurationRow(each.root, each.roundNumber);
        } else if (peer != nullptr && each.what == kind::Send) {
            outputs_.toPeers(send_datagram{ peer->address, peer->incarnation,
                                            digest{ senderInfo(), each.message } });
        } else if (peer != nullptr && each.what == kind::Fetch) {
            if (const auto next = core::addFetchSource(
                        store, { each.peer, each.message.heldVersion, {} }, now))
                fetch(*next);
        }
    }
}

void cluster::readConfigurationRow(std::uint64_t root, std::uint64_t roundNumber)
{
    outputs_.toPlatform(
            platform::read_row{ std::string(core::configurationRowKey) },
            [this, root, roundNumber](platform::platform_result &&result, core::time_point sentAt) {
                core::configuration_row row;
                // A missing row means that no configuration was accepted yet: version 0 is the
                // newest.
                const bool isEmpty = result.isAnswered && !result.isFound;
                if (!isEmpty && (!result.isFound || !core::readRow(result.row.value, row)))
                    return;
                const core::time_point now = sentAt;
                std::vector<core::spread_action> actions;
                core::onPlatformVersion(spread, gateway_.proof, root, roundNumber, row.version,
                                        sentAt, now, actions);
                perform(actions, now);
                if (const auto next =
                            core::addFetchSource(store, { {}, row.version, row.objectName }, now))
                    fetch(*next);
            });
}

void cluster::fetch(const core::fetch_source &source)
{
    const core::known_instance *peer = core::findInstance(members, source.peer);
    if (!source.peer.empty()) {
        if (peer == nullptr)
            core::onFetchFailed(store, source);
        else
            outputs_.toPeers(fetch_configuration{ peer->address, source.peer, source.version });
        return;
    }
    outputs_.toPlatform(
            platform::get_object{ source.objectName },
            [this, source](platform::platform_result &&result, core::time_point sentAt) {
                if (result.isFound)
                    installVersion(source, result.object, sentAt);
                else
                    core::onFetchFailed(store, source);
            });
}

void cluster::onConfigurationReceived(const configuration_received &event, core::time_point now)
{
    const core::fetch_source source{ event.peer, event.requestedVersion, {} };
    if (event.text.empty())
        core::onFetchFailed(store, source);
    else
        installVersion(source, event.text, now);
}

void cluster::onConfigurationProgress(const configuration_progress &event, core::time_point now)
{
    core::onFetchProgress(store, event.peer, now);
}

void cluster::onConfigurationRequested(const configuration_requested &event)
{
    outputs_.toPeers(send_configuration{ event.link, store.current->version, store.currentBody });
}

void cluster::installVersion(const core::fetch_source &source, std::string_view body,
                             core::time_point now)
{
    const core::configuration_version before = store.current->version;
    const core::install_result result = core::installVersion(store, source, body, codec());
    if (result == core::install_result::Damaged) {
        logEvent(log_, log_event::ConfigurationRefused,
                 { field::number(log_key::Version, source.version),
                   field::number(log_key::Base, before) });
        core::onFetchFailed(store, source);
    }
    if (result != core::install_result::Installed)
        return;
    logEvent(log_, log_event::ConfigurationApplied,
             { field::number(log_key::Version, store.current->version),
               field::number(log_key::Base, before) });
    outputs_.onConfiguration(*store.current);
    std::vector<core::spread_action> actions;
    core::onVersionInstalled(spread, gateway_.proof, store.current->version, actions);
    perform(actions, now);
}

void cluster::setState(core::sender_state state, core::time_point now)
{
    state_ = state;
    outputs_.toPeers(set_sender_info{ senderInfo() });
    const wire::probe_message stateProbe{ senderInfo(), true };
    for (const auto &[instance, known] : members.instances) {
        if (known.incarnation != 0 && known.zone == settings_.zone)
            outputs_.toPeers(send_datagram{ known.address, known.incarnation, stateProbe });
    }
    std::vector<core::spread_action> actions;
    core::tickSpread(spread, gateway_.proof, now, actions);
    perform(actions, now);
}

void cluster::apply(const std::vector<core::membership_change> &changes, core::time_point now)
{
    if (changes.empty())
        return;
    for (const core::membership_change &each : changes)
        logEvent(log_, toLogEvent(each.event),
                 { field::id(log_key::Instance, each.instance),
                   field::incarnation(log_key::Incarnation, each.incarnation) });
    updatePeers();
    updateTree(now);
    outputs_.onMembersChanged();
}

void cluster::updatePeers()
{
    std::erase_if(gateway_.peers,
                  [this](const auto &each) { return members.instances.count(each.first) == 0; });
    for (const auto &[instance, known] : members.instances) {
        core::peer_instance &peer = gateway_.peers[instance];
        peer.incarnation = known.incarnation;
        peer.zone = known.zone;
        peer.address = known.address;
        peer.isLive = known.state == core::peer_state::Live && known.incarnation != 0;
    }
    gateway_.nextOwnerCheckAt = {};
}

std::vector<core::peer_ref> cluster::livePeers() const
{
    std::vector<core::peer_ref> live;
    for (const auto &[instance, known] : members.instances) {
        if (known.state == core::peer_state::Live)
            live.push_back({ known.incarnation, instance, known.zone });
    }
    return live;
}

const core::known_instance *cluster::find(core::incarnation_id incarnation) const
{
    return core::findIncarnation(members, incarnation);
}

} // namespace fuchsiagw::daemon
