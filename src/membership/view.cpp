#include <egretmount/membership/view.h>

#include <algorithm>

namespace egretmount::membership {

namespace {

bool isBefore(const PeerView &peer, const InstanceId &id)
{
    return peer.run.instance < id;
}

} // namespace

bool noteHeartbeat(MembershipState &state, const PeerView &heard)
{
    const auto place =
        std::lower_bound(state.peers.begin(), state.peers.end(), heard.run.instance, isBefore);
    const bool isKnown = place != state.peers.end() && place->run.instance == heard.run.instance;
    if (!isKnown) {
        state.peers.insert(place, heard);
        return true;
    }
    if (heard.run.incarnation < place->run.incarnation)
        return false;
    *place = heard;
    return true;
}

const PeerView *findPeer(const MembershipState &state, const InstanceId &id)
{
    const auto place = std::lower_bound(state.peers.begin(), state.peers.end(), id, isBefore);
    return place != state.peers.end() && place->run.instance == id ? &*place : nullptr;
}

bool isSuspected(const MembershipState &state, const InstanceId &id, Milliseconds now)
{
    const PeerView *peer = findPeer(state, id);
    return !peer || now - peer->lastHeard > suspicionTimeout;
}

std::vector<ListedInstance> callableInstances(const MembershipState &state, bool isSelfDraining,
                                              Milliseconds now)
{
    std::vector<ListedInstance> callable;
    for (const ListedInstance &instance : state.listed) {
        if (instance.state != ListedState::Live)
            continue;
        const bool isSelf = instance.id == state.self.instance;
        const PeerView *peer = findPeer(state, instance.id);
        const bool isOut =
            isSelf ? isSelfDraining : isSuspected(state, instance.id, now) || peer->isDraining;
        if (!isOut)
            callable.push_back(instance);
    }
    return callable;
}

} // namespace egretmount::membership
