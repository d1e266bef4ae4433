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

bool isFresh(const PeerReport &report, Milliseconds now)
{
    return now - report.at <= reportLifetime;
}

// A report about an earlier run does not apply to the run that has sent a heartbeat since.
bool isOutdated(const MembershipState &state, const PeerReport &report)
{
    const PeerView *peer = findPeer(state, report.subject.instance);
    return peer && report.subject.incarnation < peer->run.incarnation;
}

std::size_t countReports(const MembershipState &state, const InstanceId &id, PeerReportKind kind,
                         Milliseconds now)
{
    const auto counts = [&](const PeerReport &report) {
        return report.subject.instance == id && report.kind == kind && isFresh(report, now)
               && !isOutdated(state, report);
    };
    return static_cast<std::size_t>(
        std::count_if(state.reports.begin(), state.reports.end(), counts));
}

bool hasRecentHeartbeat(const MembershipState &state, const InstanceId &id, Milliseconds now)
{
    const PeerView *peer = findPeer(state, id);
    return peer && now - peer->lastReceivedAt <= peerSuspicionTimeout;
}

InstanceRun lastRun(const MembershipState &state, const InstanceId &id)
{
    const PeerView *peer = findPeer(state, id);
    return peer ? peer->run : InstanceRun { id, 0 };
}

} // namespace

void applyList(MembershipState &state, const InstanceList &list, Milliseconds now)
{
    state.listed = list;
    state.listedAt = now;
    state.heartbeatPeers = choosePeers(list, state.self.instance, heartbeatFanout);
    std::sort(state.heartbeatPeers.begin(), state.heartbeatPeers.end());
    state.directPeers.clear();
    for (const ListedInstance &other : list) {
        if (other.id == state.self.instance)
            continue;
        if (contains(state.heartbeatPeers, other.id)
            || isHeartbeatPeerOf(list, state.self.instance, other.id))
            state.directPeers.push_back(other.id);
    }
    const auto hasLeft = [&list](const PeerView &peer) {
        return !findListed(list, peer.run.instance);
    };
    state.peers.erase(std::remove_if(state.peers.begin(), state.peers.end(), hasLeft),
                      state.peers.end());
}

bool applyHeartbeat(MembershipState &state, const PeerView &received)
{
    const auto place =
        std::lower_bound(state.peers.begin(), state.peers.end(), received.run.instance, isBefore);
    const bool isKnown = place != state.peers.end() && place->run.instance == received.run.instance;
    if (!isKnown) {
        state.peers.insert(place, received);
        return true;
    }
    if (received.run.incarnation < place->run.incarnation)
        return false;
    // A run that has begun to drain never returns to service, so a reordered heartbeat must not
    // clear the flag.
    const bool wasDraining = place->isDraining && received.run == place->run;
    *place = received;
    place->isDraining = received.isDraining || wasDraining;
    return true;
}

bool applyReport(MembershipState &state, const PeerReport &report, Milliseconds now)
{
    const bool isRelevant = report.subject.instance != state.self.instance
                            && report.reporter.instance != state.self.instance
                            && isFresh(report, now) && !isOutdated(state, report);
    if (!isRelevant)
        return false;
    const bool isFirst = countReports(state, report.subject.instance, report.kind, now) == 0;
    const auto isExpired = [now](const PeerReport &one) { return !isFresh(one, now); };
    state.reports.erase(std::remove_if(state.reports.begin(), state.reports.end(), isExpired),
                        state.reports.end());
    const auto isSame = [&report](const PeerReport &one) {
        return one.reporter == report.reporter && one.subject == report.subject
               && one.kind == report.kind;
    };
    const auto same = std::find_if(state.reports.begin(), state.reports.end(), isSame);
    if (same != state.reports.end()) {
        same->at = std::max(same->at, report.at);
        return false;
    }
    const std::size_t reporters = countReports(state, report.subject.instance, report.kind, now);
    if (reporters < suspicionQuorum)
        state.reports.push_back(report);
    return isFirst;
}

std::vector<PeerReport> reportsToSend(const MembershipState &state, Milliseconds now)
{
    std::vector<PeerReport> reports;
    for (const InstanceId &id : state.directPeers) {
        const PeerView *peer = findPeer(state, id);
        if (peer && peer->isDraining)
            reports.push_back({ state.self, peer->run, PeerReportKind::Draining, now });
        else if (!hasRecentHeartbeat(state, id, now))
            reports.push_back({ state.self, lastRun(state, id), PeerReportKind::NoHeartbeat, now });
    }
    for (const PeerReport &report : state.reports) {
        if (isFresh(report, now) && !isOutdated(state, report))
            reports.push_back(report);
    }
    reports.resize(std::min(reports.size(), maxReports));
    return reports;
}

void onProcessPaused(MembershipState &state, Milliseconds now)
{
    state.staleBefore = now;
    state.reports.clear();
}

bool isViewFresh(const MembershipState &state)
{
    const auto isRecent = [&state](const PeerView &peer) {
        return peer.lastReceivedAt >= state.staleBefore;
    };
    return state.heartbeatPeers.empty()
           || std::any_of(state.peers.begin(), state.peers.end(), isRecent);
}

const PeerView *findPeer(const MembershipState &state, const InstanceId &id)
{
    const auto place = std::lower_bound(state.peers.begin(), state.peers.end(), id, isBefore);
    return place != state.peers.end() && place->run.instance == id ? &*place : nullptr;
}

bool isSuspected(const MembershipState &state, const InstanceId &id, Milliseconds now)
{
    if (hasRecentHeartbeat(state, id, now))
        return false;
    if (contains(state.directPeers, id) || !findListed(state.listed, id))
        return true;
    return countReports(state, id, PeerReportKind::NoHeartbeat, now) >= suspicionQuorum;
}

bool isLeaving(const MembershipState &state, const InstanceId &id, Milliseconds now)
{
    const PeerView *peer = findPeer(state, id);
    return (peer && peer->isDraining) || countReports(state, id, PeerReportKind::Draining, now) > 0;
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
