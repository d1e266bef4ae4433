#include <egretmount/membership/member_list.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include <egretmount/core/hash.h>

namespace egretmount::membership {

namespace {

// A watcher that is itself suspected by this many instances is left out of the quorum. One
// suspicion is not enough, because an instance that is cut off suspects all members it watches.
constexpr std::size_t watcherExclusionThreshold = 2;

// Suspicions apply to one version of a run; a newer version refutes them.
void clearSuspicions(Member &member)
{
    member.isLostLocally = false;
    member.suspectedSince = Milliseconds(0);
    member.suspicions.clear();
}

bool isNewer(const MemberRecord &a, const MemberRecord &b)
{
    return std::tie(a.incarnation, a.version) > std::tie(b.incarnation, b.version);
}

bool isSameVersion(const MemberRecord &record, const Suspicion &suspicion)
{
    return record.incarnation == suspicion.incarnation && record.version == suspicion.version;
}

using Ring = std::vector<std::string_view>;

// Returns the living instances, including this one, in ring order.
Ring ring(const MemberList &list)
{
    std::vector<std::pair<std::uint64_t, std::string_view>> places;
    places.reserve(list.members.size() + 1);
    places.emplace_back(stableHash(list.self.host), list.self.host);
    for (const auto &[host, member] : list.members) {
        if (isLiving(member))
            places.emplace_back(stableHash(host), host);
    }
    std::sort(places.begin(), places.end());
    Ring hosts;
    hosts.reserve(places.size());
    for (const auto &[place, host] : places)
        hosts.push_back(host);
    return hosts;
}

// Returns the successors of this instance in the ring, which watch it, or its predecessors, which
// it watches.
std::vector<std::string> neighbours(const MemberList &list, bool areAfter)
{
    const Ring hosts = ring(list);
    const std::size_t own = static_cast<std::size_t>(
        std::find(hosts.begin(), hosts.end(), list.self.host) - hosts.begin());
    const std::size_t count = std::min(watcherCount, hosts.size() - 1);
    std::vector<std::string> found;
    for (std::size_t step = 1; step <= count; ++step) {
        const std::size_t distance = areAfter ? step : hosts.size() - step;
        found.emplace_back(hosts[(own + distance) % hosts.size()]);
    }
    return found;
}

// After a suspension or CPU starvation of this process, shifts the receive times by the length of
// the pause. Otherwise this instance would suspect members whose datagrams it had no time to read.
void compensateProcessPause(MemberList &list, Milliseconds now)
{
    const Milliseconds pause = now - list.lastDetectionAt;
    if (list.lastDetectionAt == Milliseconds(0) || pause < heartbeatInterval + heartbeatInterval)
        return;
    for (auto &[host, member] : list.members)
        member.lastReceivedAt = std::min(now, member.lastReceivedAt + pause);
}

void updateWatchedMembers(MemberList &list, Milliseconds now)
{
    const std::vector<std::string> watched = neighbours(list, false);
    const std::set<std::string> hosts(watched.begin(), watched.end());
    for (auto &[host, member] : list.members) {
        const bool isWatched = hosts.count(host) != 0;
        if (isWatched && !member.isWatched)
            member.lastReceivedAt = now;
        member.isWatched = isWatched;
    }
}

// Suspicions of one member and the number of them that makes it lost.
struct SuspicionTally
{
    std::size_t suspicions = 0;
    std::size_t quorum = 0; // half of its eligible watchers, rounded up; at least one
};

std::size_t suspicionCount(const MemberList &list, std::string_view host)
{
    const auto position = list.members.find(host);
    return position == list.members.end() ? 0 : position->second.suspicions.size();
}

SuspicionTally tallySuspicions(const MemberList &list, const Ring &hosts, std::size_t place)
{
    const std::size_t suspicions = suspicionCount(list, hosts[place]);
    if (suspicions == 0)
        return { 0, 1 };
    const std::size_t watchers = std::min(watcherCount, hosts.size() - 1);
    std::size_t eligible = 0;
    for (std::size_t step = 1; step <= watchers; ++step) {
        const std::string_view watcher = hosts[(place + step) % hosts.size()];
        eligible += suspicionCount(list, watcher) < watcherExclusionThreshold ? 1 : 0;
    }
    return { suspicions, std::max<std::size_t>(1, (eligible + 1) / 2) };
}

void expireSuspicions(MemberList &list, Milliseconds now)
{
    for (auto &[host, member] : list.members) {
        for (auto position = member.suspicions.begin(); position != member.suspicions.end();) {
            if (now - position->second >= suspicionLifetime)
                position = member.suspicions.erase(position);
            else
                ++position;
        }
    }
}

void markLost(MemberList &list, Milliseconds now)
{
    expireSuspicions(list, now);
    const bool isAnySuspected =
        std::any_of(list.members.begin(), list.members.end(),
                    [](const auto &member) { return !member.second.suspicions.empty(); });
    if (!isAnySuspected)
        return;
    const Ring hosts = ring(list);
    std::vector<std::string> lost;
    for (std::size_t place = 0; place < hosts.size(); ++place) {
        const SuspicionTally tally = tallySuspicions(list, hosts, place);
        if (tally.suspicions >= tally.quorum)
            lost.emplace_back(hosts[place]);
    }
    for (const std::string &host : lost) {
        Member &member = list.members.at(host);
        member.record.isLost = true;
        member.changedAt = now;
        member.suspicions.clear();
    }
}

// Returns the records that have changed recently, or those that have not.
std::vector<const MemberRecord *> recordsByAge(const MemberList &list, Milliseconds now,
                                               bool areRecent)
{
    std::vector<const MemberRecord *> found;
    for (const auto &[host, member] : list.members) {
        if ((now - member.changedAt < changeDisseminationPeriod) == areRecent)
            found.push_back(&member.record);
    }
    return found;
}

void appendRoundRobin(std::vector<MemberRecord> &records,
                      const std::vector<const MemberRecord *> &from, std::size_t limit,
                      std::uint64_t round)
{
    const std::size_t count = std::min(from.size(), limit);
    for (std::size_t i = 0; i < count; ++i)
        records.push_back(*from[(round * count + i) % from.size()]);
}

std::vector<std::string> unreachableHosts(const MemberList &list)
{
    std::vector<std::string> hosts;
    for (const std::string &contact : list.contacts) {
        if (contact != list.self.host && list.members.count(contact) == 0)
            hosts.push_back(contact);
    }
    for (const auto &[host, member] : list.members) {
        if (!isLiving(member))
            hosts.push_back(host);
    }
    return hosts;
}

} // namespace

bool isLiving(const Member &member)
{
    return !member.record.isLost && !member.isLostLocally;
}

std::vector<std::string> mergeRecords(MemberList &list, const std::vector<MemberRecord> &records,
                                      Milliseconds now)
{
    std::vector<std::string> changedRuns;
    for (const MemberRecord &record : records) {
        if (record.host == list.self.host) {
            // An earlier run of this instance, started while the clock was ahead, has a higher
            // incarnation. Exceed it, or the others ignore this run.
            if (record.incarnation > list.self.incarnation)
                list.self.incarnation = record.incarnation + 1;
            continue;
        }
        const auto [position, isNew] = list.members.try_emplace(record.host);
        Member &member = position->second;
        if (!isNew && !isNewer(record, member.record)) {
            // An instance that has just learned of the run may have missed the suspicions, so it
            // adopts the lost flag from others. All other instances count the suspicions
            // themselves.
            const bool isSame = !isNewer(member.record, record);
            if (isSame && record.isLost && now - member.firstSeenAt < changeDisseminationPeriod)
                member.record.isLost = true;
            if (record.incarnation == member.record.incarnation && member.record.capacity <= 0)
                member.record.capacity = record.capacity;
            continue;
        }
        const bool isNewRun = isNew || record.incarnation != member.record.incarnation;
        if (isNewRun) {
            member.firstSeenAt = now;
            if (!record.isLost)
                changedRuns.push_back(record.host);
        }
        const bool wasLeaving = !isNewRun && member.record.isLeaving;
        const double knownCapacity = isNewRun ? 0 : member.record.capacity;
        member.record = record;
        if (record.capacity <= 0)
            member.record.capacity = knownCapacity;
        member.record.isLeaving = record.isLeaving || wasLeaving;
        member.changedAt = now;
        member.lastReceivedAt = now;
        clearSuspicions(member);
    }
    return changedRuns;
}

bool recordDatagram(MemberList &list, const std::string &host, Incarnation incarnation,
                    Milliseconds now)
{
    const auto position = list.members.find(host);
    if (position == list.members.end() || position->second.record.incarnation != incarnation)
        return true;
    Member &member = position->second;
    member.lastReceivedAt = now;
    member.isLostLocally = false;
    member.suspectedSince = Milliseconds(0);
    member.suspicions.erase(list.self.host);
    return !member.record.isLost;
}

SuspicionReply applySuspicions(MemberList &list, const std::string &watcher,
                               const std::vector<Suspicion> &suspicions, Milliseconds now)
{
    SuspicionReply reply = SuspicionReply::Nobody;
    bool isAnyRecorded = false;
    for (const Suspicion &suspicion : suspicions) {
        if (suspicion.host == list.self.host) {
            reply = SuspicionReply::Sender;
            if (isSameVersion(list.self, suspicion)) {
                ++list.self.version;
                reply = SuspicionReply::Everyone;
            }
            continue;
        }
        const auto position = list.members.find(suspicion.host);
        if (position == list.members.end() || !isSameVersion(position->second.record, suspicion)
            || !isLiving(position->second))
            continue;
        position->second.suspicions[watcher] = now;
        isAnyRecorded = true;
    }
    if (isAnyRecorded)
        markLost(list, now);
    return reply;
}

std::vector<Suspicion> detectFailures(MemberList &list, Milliseconds now)
{
    compensateProcessPause(list, now);
    list.lastDetectionAt = now;
    updateWatchedMembers(list, now);
    std::vector<Suspicion> own;
    for (auto &[host, member] : list.members) {
        const Milliseconds sinceLastReceived = now - member.lastReceivedAt;
        if (member.isWatched && isLiving(member) && sinceLastReceived >= suspicionTimeout) {
            if (member.suspectedSince == Milliseconds(0))
                member.suspectedSince = now;
            member.suspicions[list.self.host] = now;
            member.isLostLocally = sinceLastReceived >= soloFailureTimeout;
        }
        if (member.suspectedSince != Milliseconds(0)
            && now - member.suspectedSince < suspicionBroadcastPeriod)
            own.push_back(suspicionOf(list, host));
    }
    markLost(list, now);
    return own;
}

Suspicion suspicionOf(const MemberList &list, const std::string &host)
{
    const MemberRecord &record = list.members.at(host).record;
    return { record.host, record.incarnation, record.version };
}

std::vector<MemberRecord> makeHeartbeat(MemberList &list, Milliseconds now)
{
    std::vector<MemberRecord> records { list.self };
    appendRoundRobin(records, recordsByAge(list, now, true), maxDigestRecords - 1,
                     list.gossipRound);
    ++list.gossipRound;
    return records;
}

std::vector<MemberRecord> makeDigest(MemberList &list, Milliseconds now)
{
    std::vector<MemberRecord> records = makeHeartbeat(list, now);
    const std::size_t room = std::min(maxDigestRecords - records.size(), maxUnchangedRecords);
    appendRoundRobin(records, recordsByAge(list, now, false), room, list.gossipRound);
    return records;
}

std::vector<std::string> ownWatchers(const MemberList &list)
{
    return neighbours(list, true);
}

std::vector<std::string> digestReceivers(const MemberList &list, std::uint64_t randomBits)
{
    std::vector<std::string> receivers;
    std::vector<std::string> living = livingHosts(list);
    living.erase(std::find(living.begin(), living.end(), list.self.host));
    if (!living.empty())
        receivers.push_back(living[randomBits % living.size()]);
    const std::vector<std::string> unreachable = unreachableHosts(list);
    const std::size_t extra =
        living.empty() ? unreachable.size() : std::min<std::size_t>(unreachable.size(), 2);
    for (std::size_t i = 0; i < extra; ++i)
        receivers.push_back(unreachable[(list.gossipRound * extra + i) % unreachable.size()]);
    return receivers;
}

std::vector<std::string> servingHosts(const MemberList &list)
{
    std::vector<std::string> hosts;
    if (!list.self.isLeaving)
        hosts.push_back(list.self.host);
    for (const auto &[host, member] : list.members) {
        if (isLiving(member) && !member.record.isLeaving)
            hosts.push_back(host);
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::vector<std::string> directorySection(std::vector<std::string> hosts, const std::string &self,
                                          std::size_t limit)
{
    if (hosts.size() <= limit)
        return hosts;
    std::rotate(hosts.begin(), std::lower_bound(hosts.begin(), hosts.end(), self), hosts.end());
    hosts.resize(limit);
    return hosts;
}

std::vector<std::string> livingHosts(const MemberList &list)
{
    std::vector<std::string> hosts { list.self.host };
    for (const auto &[host, member] : list.members) {
        if (isLiving(member))
            hosts.push_back(host);
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

instance::Capacities livingCapacities(const MemberList &list)
{
    instance::Capacities capacities;
    if (list.self.capacity > 0)
        capacities[list.self.host] = list.self.capacity;
    for (const auto &[host, member] : list.members) {
        if (isLiving(member) && member.record.capacity > 0)
            capacities[host] = member.record.capacity;
    }
    return capacities;
}

void evictLost(MemberList &list, Milliseconds now)
{
    for (auto position = list.members.begin(); position != list.members.end();) {
        const Member &member = position->second;
        if (!isLiving(member)
            && now - std::max(member.changedAt, member.lastReceivedAt) >= lostMemberRetention)
            position = list.members.erase(position);
        else
            ++position;
    }
}

} // namespace egretmount::membership
