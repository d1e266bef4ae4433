#include <egretmount/credit/lease.h>

#include <algorithm>

namespace egretmount::credit {

namespace {

bool contains(const std::vector<InstanceId> &ids, const InstanceId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// By then, all promises and leases of an earlier incarnation of this instance have expired.
bool isStartupDelayOver(const LeaseState &state, Milliseconds now)
{
    return now >= state.startedAt + state.settings.startupDelay;
}

bool isPromisedToOther(const TargetLease &lease, const InstanceRun &run, Milliseconds now)
{
    return now < lease.promise.until && lease.promise.holder != run;
}

void releasePromise(TargetLease &lease, const LeaseRequest &request)
{
    const bool isNewest = request.number >= lease.promise.number;
    if (lease.promise.holder == request.holder && isNewest)
        lease.promise = {};
}

std::vector<InstanceId> grantersToAsk(const LeaseState &state, const TargetLease &lease,
                                      Milliseconds now)
{
    std::vector<InstanceId> others;
    for (const InstanceId &id : lease.candidates) {
        if (id != state.self.instance)
            others.push_back(id);
    }
    for (const FormerCandidate &former : lease.formerCandidates) {
        if (now < former.until && former.id != state.self.instance)
            others.push_back(former.id);
    }
    return others;
}

void replaceCandidates(const LeaseState &state, TargetLease &lease,
                       const ListedInstances &listedInstances, std::vector<InstanceId> candidates,
                       Milliseconds now)
{
    std::vector<FormerCandidate> former;
    for (const InstanceId &id : lease.candidates)
        former.push_back({ id, now + state.settings.formerCandidateRetention });
    former.insert(former.end(), lease.formerCandidates.begin(), lease.formerCandidates.end());
    lease.formerCandidates.clear();
    for (const FormerCandidate &each : former) {
        if (now < each.until && listedInstances.contains(each.id) && !contains(candidates, each.id))
            lease.formerCandidates.push_back(each);
    }
    lease.candidates = std::move(candidates);
    lease.round = 0; // abort the round, which asked only the former candidates
}

} // namespace

void setLeaseInstances(LeaseState &state, const std::vector<TargetId> &targets,
                       const ListedInstances &listedInstances, Milliseconds now)
{
    std::map<TargetId, TargetLease> leases;
    for (const TargetId &target : targets) {
        TargetLease &lease = leases[target];
        const auto known = state.leases.find(target);
        if (known != state.leases.end())
            lease = std::move(known->second);
        std::vector<InstanceId> candidates = listedInstances.topRanked(target, maxHolders);
        if (candidates == lease.candidates)
            continue;
        replaceCandidates(state, lease, listedInstances, std::move(candidates), now);
    }
    state.leases = std::move(leases);
    state.listedInstances = listedInstances;
}

LeaseReply answerLease(LeaseState &state, const LeaseRequest &request, Milliseconds now)
{
    LeaseReply reply { request.number, state.self.instance, request.target, false, {} };
    const auto found = state.leases.find(request.target);
    if (found == state.leases.end())
        return reply;
    TargetLease &lease = found->second;
    if (request.isRelease) {
        releasePromise(lease, request);
        return reply;
    }
    const bool mayGrant = !state.isLeaving && isStartupDelayOver(state, now)
                          && state.listedInstances.contains(request.holder.instance);
    if (isPromisedToOther(lease, request.holder, now)) {
        reply.heldBy = lease.promise.holder.instance;
        return reply;
    }
    if (!mayGrant)
        return reply;
    lease.promise = { request.holder, std::max(request.number, lease.promise.number),
                      std::max(lease.promise.until, now + request.length) };
    reply.isGranted = true;
    reply.heldBy = request.holder.instance;
    return reply;
}

bool beginRound(LeaseState &state, const TargetId &target, LeaseRequest &request, Milliseconds now)
{
    const auto found = state.leases.find(target);
    if (found == state.leases.end() || state.isLeaving || !isStartupDelayOver(state, now))
        return false;
    TargetLease &lease = found->second;
    const bool isCandidate = contains(lease.candidates, state.self.instance);
    if (!isCandidate || isPromisedToOther(lease, state.self, now))
        return false;
    lease.round = ++state.lastRound;
    lease.sentAt = now;
    lease.promise = { state.self, lease.round, now + state.settings.length };
    lease.pendingGranters = grantersToAsk(state, lease, now);
    if (lease.pendingGranters.empty())
        lease.heldUntil = now + state.settings.length;
    request = { state.self, lease.round, target, state.settings.length, false };
    return true;
}

bool onLeaseReply(LeaseState &state, const LeaseReply &reply, Milliseconds now)
{
    const auto found = state.leases.find(reply.target);
    if (found == state.leases.end())
        return false;
    TargetLease &lease = found->second;
    if (reply.isGranted && lease.round != 0 && reply.number == lease.round) {
        lease.pendingGranters.erase(
            std::remove(lease.pendingGranters.begin(), lease.pendingGranters.end(), reply.granter),
            lease.pendingGranters.end());
        if (lease.pendingGranters.empty())
            lease.heldUntil = lease.sentAt + state.settings.length;
    }
    return now < lease.heldUntil;
}

LeaseRequest releaseLease(LeaseState &state, const TargetId &target, Milliseconds now)
{
    LeaseRequest request { state.self, state.lastRound, target, state.settings.length, true };
    const auto found = state.leases.find(target);
    if (found == state.leases.end())
        return request;
    TargetLease &lease = found->second;
    lease.round = 0;
    lease.heldUntil = std::min(lease.heldUntil, now);
    if (lease.promise.holder == state.self)
        lease.promise = {};
    return request;
}

bool holdsLease(const LeaseState &state, const TargetId &target, Milliseconds now)
{
    const TargetLease *lease = findLease(state, target);
    return lease && now < lease->heldUntil;
}

InstanceId leaseHolder(const LeaseState &state, const TargetId &target, Milliseconds now)
{
    const TargetLease *lease = findLease(state, target);
    return lease && now < lease->promise.until ? lease->promise.holder.instance : InstanceId();
}

const TargetLease *findLease(const LeaseState &state, const TargetId &target)
{
    const auto found = state.leases.find(target);
    return found == state.leases.end() ? nullptr : &found->second;
}

} // namespace egretmount::credit
