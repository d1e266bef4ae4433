#include <egretmount/limits/reachability.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>

#include <egretmount/core/hash.h>

namespace egretmount::limits {

namespace {

// What another instance states of its last contact is this much inexact: its message takes some
// milliseconds, and ages are rounded.
constexpr Milliseconds contactTolerance = Milliseconds(100);

} // namespace

bool recordConnected(Reachability &reach, Milliseconds now)
{
    const bool wasNotReached = reachOf(reach) == Reach::NotReached;
    reach.failingSince.reset();
    reach.notReachedSince.reset();
    reach.failedProbes.clear();
    reach.connectedAt = reach.contactAt = now;
    return wasNotReached;
}

void recordConnectFailed(Reachability &reach, Milliseconds now)
{
    if (!reach.failingSince)
        reach.failingSince = now;
}

void recordTargetOutcome(Reachability &reach, const TargetId &target, bool isReached,
                         Milliseconds now)
{
    for (auto position = reach.failedAt.begin(); position != reach.failedAt.end();) {
        const bool isForgotten = now - position->second >= failureMemory;
        position = isForgotten ? reach.failedAt.erase(position) : std::next(position);
    }
    if (isReached)
        reach.failedAt.erase(target);
    else
        reach.failedAt[target] = now;
}

bool recordProbeFailed(Reachability &reach, const TargetId &target, std::size_t knownTargets,
                       Milliseconds startedAt, Milliseconds now)
{
    recordTargetOutcome(reach, target, false, now);
    if (reach.connectedAt >= startedAt)
        return false;
    recordConnectFailed(reach, now);
    reach.failedProbes.insert(target);
    const std::size_t needed = std::clamp<std::size_t>(knownTargets, 1, minFailedProbes);
    if (reach.notReachedSince || reach.failedProbes.size() < needed)
        return false;
    reach.notReachedSince = now;
    return true;
}

void recordBytes(Reachability &reach, Milliseconds now)
{
    reach.contactAt = now;
}

void recordRequestSent(Reachability &reach, Milliseconds now)
{
    if (reach.awaiting++ == 0)
        reach.awaitingSince = now;
}

void recordRequestEnded(Reachability &reach)
{
    --reach.awaiting;
}

Reach reachOf(const Reachability &reach)
{
    if (reach.notReachedSince)
        return Reach::NotReached;
    return reach.failingSince ? Reach::Doubtful : Reach::Reached;
}

std::size_t probesDue(const Reachability &reach, std::size_t running, Milliseconds now)
{
    switch (reachOf(reach)) {
    case Reach::NotReached:
        return running == 0 && now - reach.probedAt >= recoveryProbeInterval ? 1 : 0;
    case Reach::Doubtful: {
        const std::size_t missing =
            minFailedProbes - std::min(reach.failedProbes.size(), minFailedProbes);
        // A single failure is mostly that of its target.
        const std::size_t wanted = reach.failedProbes.empty() ? 1 : missing;
        return wanted - std::min(wanted, running);
    }
    case Reach::Reached:
        break;
    }
    const bool isSilent =
        reach.awaiting > 0 && now - std::max(reach.contactAt, reach.awaitingSince) >= maxSilence;
    return isSilent && running == 0 && now - reach.probedAt >= silenceProbeInterval ? 1 : 0;
}

std::vector<fleet::TargetEntry> chooseProbes(const Reachability &reach,
                                             const fleet::TargetTable &table, std::size_t count,
                                             std::uint64_t randomBits)
{
    // A zone from which a probe has failed comes after the others.
    std::map<ZoneId, std::size_t> probesOf;
    for (const TargetId &failed : reach.failedProbes) {
        const auto found = table.targets.find(failed);
        if (found != table.targets.end())
            ++probesOf[found->second.entry.zone];
    }
    std::vector<fleet::TargetEntry> chosen;
    while (chosen.size() < count) {
        const fleet::Target *best = nullptr;
        std::tuple<bool, bool, std::size_t, std::uint64_t> bestRank;
        for (const auto &[id, target] : table.targets) {
            const bool isChosen =
                std::any_of(chosen.begin(), chosen.end(),
                            [&id = id](const fleet::TargetEntry &one) { return one.id == id; });
            if (isChosen)
                continue;
            const std::tuple<bool, bool, std::size_t, std::uint64_t> rank(
                reach.failedProbes.count(id) > 0, reach.failedAt.count(id) > 0,
                probesOf[target.entry.zone], stableHash(id.value, randomBits));
            if (best == nullptr || rank < bestRank) {
                best = &target;
                bestRank = rank;
            }
        }
        if (best == nullptr)
            break;
        ++probesOf[best->entry.zone];
        chosen.push_back(best->entry);
    }
    return chosen;
}

Fault faultOf(const Reachability &reach, Milliseconds failedAt, Milliseconds connectedAt,
              std::optional<Milliseconds> contactOfOthers, Milliseconds now)
{
    if (connectedAt >= failedAt)
        return Fault::Target;
    if (!reach.notReachedSince)
        return Fault::Unknown;
    if (contactOfOthers && *contactOfOthers > *reach.notReachedSince + contactTolerance)
        return Fault::Instance;
    return now - *reach.notReachedSince >= faultDecisionTime ? Fault::Target : Fault::Unknown;
}

} // namespace egretmount::limits
