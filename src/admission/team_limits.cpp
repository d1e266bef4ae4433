#include <egretmount/admission/team_limits.h>

#include <algorithm>

namespace egretmount::admission {

void setInstances(TeamLimits &limits, const std::vector<InstanceId> &listed, const InstanceId &self,
                  Milliseconds now)
{
    const auto place = std::lower_bound(listed.begin(), listed.end(), self);
    const bool isListed = place != listed.end() && *place == self;
    // An instance that is not in the list yet counts itself as the last one.
    const std::int64_t count = static_cast<std::int64_t>(listed.size()) + (isListed ? 0 : 1);
    const std::int64_t position = isListed ? place - listed.begin() : count - 1;
    const bool isSame = count == limits.nextInstances && position == limits.nextPosition;
    if (isSame)
        return;
    limits.nextInstances = count;
    limits.nextPosition = position;
    limits.nextEffectiveAt = now + shareHoldOff;
    if (count >= limits.instances) {
        limits.instances = count;
        limits.position = position;
    }
}

TokenCount shareOfLimit(TeamLimits &limits, TokenCount limit, Milliseconds now)
{
    if (now >= limits.nextEffectiveAt) {
        limits.instances = limits.nextInstances;
        limits.position = limits.nextPosition;
    }
    const TokenCount rest = limit % limits.instances;
    return limit / limits.instances + (limits.position < rest ? 1 : 0);
}

bool tryAcquireTokens(TeamLimits &limits, const TeamId &team, TokenCount limit, TokenCount tokens,
                      Milliseconds now)
{
    const auto held = limits.held.find(team);
    const TokenCount before = held == limits.held.end() ? 0 : held->second;
    if (limit > 0 && before + tokens > shareOfLimit(limits, limit, now))
        return false;
    limits.held[team] = before + tokens;
    return true;
}

void releaseTokens(TeamLimits &limits, const TeamId &team, TokenCount tokens)
{
    const auto held = limits.held.find(team);
    if (held == limits.held.end())
        return;
    held->second -= tokens;
    if (held->second <= 0)
        limits.held.erase(held);
}

} // namespace egretmount::admission
