#include <egretmount/membership/view.h>

#include <algorithm>

#include <egretmount/membership/selection.h>

namespace egretmount::membership {

namespace {

bool isBefore(const PeerView &peer, const InstanceId &id)
{
    return peer.run.instance < id;
}

bool contains(const std::vector<InstanceId> &sorted, const InstanceId &id)
{
    return std::binary_search(sorted.begin(), sorted.end(), id);
}

bool isFresh(const Claim &claim, Milliseconds now)
{
    return now - claim.at <= claimLifetime;
}

// A claim on an earlier run says nothing of the run that was heard since.
bool isOutdated(const MembershipState &state, const Claim &claim)
{
    const PeerView *peer = findPeer(state, claim.subject.instance);
    return peer && claim.subject.incarnation < peer->run.incarnation;
}

std::size_t countClaims(const MembershipState &state, const InstanceId &id, ClaimKind kind,
                        Milliseconds now)
{
    const auto counts = [&](const Claim &claim) {
        return claim.subject.instance == id && claim.kind == kind && isFresh(claim, now)
               && !isOutdated(state, claim);
    };
    return static_cast<std::size_t>(
        std::count_if(state.claims.begin(), state.claims.end(), counts));
}

bool isHeard(const MembershipState &state, const InstanceId &id, Milliseconds now)
{
    const PeerView *peer = findPeer(state, id);
    return peer && now - peer->lastHeard <= suspicionTimeout;
}

InstanceRun lastRun(const MembershipState &state, const InstanceId &id)
{
    const PeerView *peer = findPeer(state, id);
    return peer ? peer->run : InstanceRun { id, 0 };
}

} // namespace

void takeList(MembershipState &state, const InstanceList &list, Milliseconds now)
{
    state.listed = list;
    state.listedAt = now;
    state.chosen = choosePeers(list, state.self.instance, heartbeatFanout);
    std::sort(state.chosen.begin(), state.chosen.end());
    state.adjacent.clear();
    for (const ListedInstance &other : list) {
        if (other.id == state.self.instance)
            continue;
        if (contains(state.chosen, other.id) || isChosenBy(list, state.self.instance, other.id))
            state.adjacent.push_back(other.id);
    }
    const auto hasLeft = [&list](const PeerView &peer) {
        return !findListed(list, peer.run.instance);
    };
    state.peers.erase(std::remove_if(state.peers.begin(), state.peers.end(), hasLeft),
                      state.peers.end());
}

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
    // A run that leaves never stays after all, so a late message cannot bring it back.
    const bool wasDraining = place->isDraining && heard.run == place->run;
    *place = heard;
    place->isDraining = heard.isDraining || wasDraining;
    return true;
}

bool noteClaim(MembershipState &state, const Claim &claim, Milliseconds now)
{
    const bool isOfInterest = claim.subject.instance != state.self.instance
                              && claim.reporter.instance != state.self.instance
                              && isFresh(claim, now) && !isOutdated(state, claim);
    if (!isOfInterest)
        return false;
    const bool isFirst = countClaims(state, claim.subject.instance, claim.kind, now) == 0;
    const auto isExpired = [now](const Claim &one) { return !isFresh(one, now); };
    state.claims.erase(std::remove_if(state.claims.begin(), state.claims.end(), isExpired),
                       state.claims.end());
    const auto isSame = [&claim](const Claim &one) {
        return one.reporter == claim.reporter && one.subject == claim.subject
               && one.kind == claim.kind;
    };
    const auto same = std::find_if(state.claims.begin(), state.claims.end(), isSame);
    if (same != state.claims.end()) {
        same->at = std::max(same->at, claim.at);
        return false;
    }
    const std::size_t reporters = countClaims(state, claim.subject.instance, claim.kind, now);
    if (reporters < reportersNeeded)
        state.claims.push_back(claim);
    return isFirst;
}

std::vector<Claim> claimsToSend(const MembershipState &state, Milliseconds now)
{
    std::vector<Claim> claims;
    for (const InstanceId &id : state.adjacent) {
        const PeerView *peer = findPeer(state, id);
        if (peer && peer->isDraining)
            claims.push_back({ state.self, peer->run, ClaimKind::Draining, now });
        else if (!isHeard(state, id, now))
            claims.push_back({ state.self, lastRun(state, id), ClaimKind::Silent, now });
    }
    for (const Claim &claim : state.claims) {
        if (isFresh(claim, now) && !isOutdated(state, claim))
            claims.push_back(claim);
    }
    claims.resize(std::min(claims.size(), maxClaims));
    return claims;
}

void notePause(MembershipState &state, Milliseconds now)
{
    state.refreshFrom = now;
    state.claims.clear();
}

bool isViewFresh(const MembershipState &state)
{
    const auto isRecent = [&state](const PeerView &peer) {
        return peer.lastHeard >= state.refreshFrom;
    };
    return state.chosen.empty() || std::any_of(state.peers.begin(), state.peers.end(), isRecent);
}

const PeerView *findPeer(const MembershipState &state, const InstanceId &id)
{
    const auto place = std::lower_bound(state.peers.begin(), state.peers.end(), id, isBefore);
    return place != state.peers.end() && place->run.instance == id ? &*place : nullptr;
}

bool isSuspected(const MembershipState &state, const InstanceId &id, Milliseconds now)
{
    if (isHeard(state, id, now))
        return false;
    if (contains(state.adjacent, id) || !findListed(state.listed, id))
        return true;
    return countClaims(state, id, ClaimKind::Silent, now) >= reportersNeeded;
}

bool isLeaving(const MembershipState &state, const InstanceId &id, Milliseconds now)
{
    const PeerView *peer = findPeer(state, id);
    return (peer && peer->isDraining) || countClaims(state, id, ClaimKind::Draining, now) > 0;
}

std::vector<ListedInstance> callableInstances(const MembershipState &state, bool isSelfDraining,
                                              Milliseconds now)
{
    std::vector<ListedInstance> callable;
    for (const ListedInstance &instance : state.listed) {
        if (instance.state != ListedState::Live)
            continue;
        const bool isSelf = instance.id == state.self.instance;
        const bool isOut =
            isSelf ? isSelfDraining
                   : isSuspected(state, instance.id, now) || isLeaving(state, instance.id, now);
        if (!isOut)
            callable.push_back(instance);
    }
    return callable;
}

} // namespace egretmount::membership
