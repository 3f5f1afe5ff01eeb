/// @file
/// @brief Exchange of the load of members between their relays and the other daemons.

#include <fuchsiagw/detail/engine_steps.hpp>

namespace fuchsiagw::proxy {

void announceLoad(engine &state, const std::string &memberId, const member_load &load,
                  core::time_point now)
{
    applyLoad(state, memberId, load, now);
    peer_message message = makeMessage(state, peer_message_kind::MemberLoad);
    message.member = memberId;
    message.load = load;
    for (const auto &[name, peer] : state.peers)
        state.out.emplace_back(send_to_peer{ name, message });
}

void applyLoad(engine &state, const std::string &memberId, const member_load &load,
               core::time_point now)
{
    member_state *member = findMember(state, memberId);
    if (member == nullptr)
        return;
    member->load = load;
    member->loadUntil = load.state == load_state::Normal ? core::time_point{} : now + loadLifetime;
}

} // namespace fuchsiagw::proxy
