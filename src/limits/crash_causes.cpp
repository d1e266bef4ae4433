#include <egretmount/limits/crash_causes.h>

#include <algorithm>
#include <iterator>

namespace egretmount::limits {

namespace {

// Counts of received prompts are halved at this interval, so that they follow the present load.
constexpr Milliseconds decayInterval = Milliseconds(30'000);

// A crash that a blocked cause was implicated in says nothing about the other causes.
bool isExplained(const CrashCauses &state, const TargetCrash &crash, const Cause &except)
{
    return std::any_of(crash.causes.begin(), crash.causes.end(), [&](const Cause &cause) {
        return !(cause == except) && state.blocked.count(cause) > 0;
    });
}

bool countsAgainst(const CrashCauses &state, const TargetCrash &crash, const Cause &cause)
{
    return crash.causes.count(cause) > 0 && !isExplained(state, crash, cause);
}

// Instances that have not received the cause themselves leave the decision to those that have.
bool isBlockable(const CrashCauses &state, const Cause &cause)
{
    const auto found = state.uses.find(cause);
    if (found == state.uses.end() || found->second.isSound || found->second.received <= 0)
        return false;
    const auto ofRoute = state.receivedByRoute.find(found->second.route);
    return ofRoute != state.receivedByRoute.end()
           && found->second.received <= maxBlockableShare * ofRoute->second;
}

bool isProvenToCrash(const CrashCauses &state, const Cause &cause)
{
    std::optional<Milliseconds> first;
    Milliseconds last;
    for (const TargetCrash &crash : state.crashes) {
        if (!countsAgainst(state, crash, cause))
            continue;
        first = std::min(first.value_or(crash.at), crash.at);
        last = std::max(last, crash.at);
    }
    return crashCount(state, cause) >= minCrashesToBlock && last - *first >= minCrashSpan;
}

TargetCrash &crashOf(CrashCauses &state, std::uint64_t target, Milliseconds at)
{
    const auto known =
        std::find_if(state.crashes.begin(), state.crashes.end(), [&](const auto &crash) {
            return crash.target == target && crash.at <= at + sameCrashTime
                   && at <= crash.at + sameCrashTime;
        });
    if (known != state.crashes.end())
        return *known;
    if (state.crashes.size() >= maxTargetCrashes)
        state.crashes.pop_front();
    state.crashes.push_back({ target, at, {} });
    return state.crashes.back();
}

// Blocks again those causes whose block has ended.
std::vector<Cause> reblockExpired(CrashCauses &state, const TargetCrash &crash, Milliseconds now)
{
    std::vector<Cause> causes;
    for (auto &[cause, block] : state.blocked) {
        if (now < block.until || crash.causes.count(cause) == 0)
            continue;
        const Milliseconds time = std::min((block.until - block.from) * 2, maxCauseBlockTime);
        block = { now, now + time };
        causes.push_back(cause);
    }
    return causes;
}

// Keeps the causes that were used last.
void boundUses(std::map<Cause, CauseUse> &uses)
{
    if (uses.size() <= maxKnownCauses)
        return;
    std::vector<Milliseconds> times;
    times.reserve(uses.size());
    for (const auto &[cause, use] : uses)
        times.push_back(use.usedAt);
    const std::vector<Milliseconds>::iterator oldestKept =
        times.end() - static_cast<std::ptrdiff_t>(maxKnownCauses / 2);
    std::nth_element(times.begin(), oldestKept, times.end());
    for (auto position = uses.begin(); position != uses.end();)
        position =
            position->second.usedAt < *oldestKept ? uses.erase(position) : std::next(position);
}

} // namespace

void recordRequest(CrashCauses &state, std::uint64_t route, const std::vector<Cause> &causes,
                   Milliseconds now)
{
    if (now - state.decayedAt >= decayInterval) {
        state.decayedAt = now;
        for (auto &[id, received] : state.receivedByRoute)
            received /= 2;
        for (auto &[cause, use] : state.uses)
            use.received /= 2;
    }
    if (state.receivedByRoute.size() >= maxCauseRoutes && state.receivedByRoute.count(route) == 0)
        state.receivedByRoute.clear(); // routes of earlier configurations
    state.receivedByRoute[route] += 1;
    for (const Cause &cause : causes) {
        CauseUse &use = state.uses[cause];
        use.usedAt = now;
        use.received += 1;
        use.route = route;
    }
}

std::vector<Cause> recordSound(CrashCauses &state, const std::vector<Cause> &causes,
                               Milliseconds now)
{
    std::vector<Cause> cleared;
    for (const Cause &cause : causes) {
        const bool wasSuspected = isSuspected(state, { cause }) || state.blocked.count(cause) > 0;
        CauseUse &use = state.uses[cause];
        use.usedAt = now;
        use.isSound = true;
        state.blocked.erase(cause);
        if (wasSuspected)
            cleared.push_back(cause);
    }
    return cleared;
}

bool isSound(const CrashCauses &state, const Cause &cause)
{
    const auto found = state.uses.find(cause);
    return found != state.uses.end() && found->second.isSound;
}

std::vector<Cause> unprovenCauses(const CrashCauses &state, const std::vector<Cause> &causes)
{
    std::vector<Cause> unproven;
    std::copy_if(causes.begin(), causes.end(), std::back_inserter(unproven),
                 [&](const Cause &cause) { return !isSound(state, cause); });
    return unproven;
}

std::vector<Cause> recordCrash(CrashCauses &state, std::uint64_t target,
                               const std::vector<Cause> &causes, Milliseconds at, Milliseconds now)
{
    TargetCrash &crash = crashOf(state, target, at);
    for (const Cause &cause : causes) {
        if (crash.causes.size() < maxCausesPerCrash)
            crash.causes.insert(cause);
    }
    std::vector<Cause> newlyBlocked = reblockExpired(state, crash, now);
    // Parts that are implicated in as many crashes cannot be told apart and are blocked together.
    std::size_t mostCrashes = 0;
    std::vector<Cause> candidates;
    for (const Cause &cause : crash.causes) {
        if (state.blocked.count(cause) > 0 || !isBlockable(state, cause)
            || !isProvenToCrash(state, cause))
            continue;
        const std::size_t count = crashCount(state, cause);
        if (count > mostCrashes)
            candidates.clear();
        mostCrashes = std::max(mostCrashes, count);
        if (count == mostCrashes)
            candidates.push_back(cause);
    }
    for (const Cause &cause : candidates) {
        if (state.blocked.size() >= maxBlockedCauses)
            break;
        state.blocked[cause] = { now, now + causeBlockTime };
        newlyBlocked.push_back(cause);
    }
    return newlyBlocked;
}

bool recordBlock(CrashCauses &state, const Cause &cause, const CauseBlock &block, Milliseconds now)
{
    if (isSound(state, cause) || block.until <= now)
        return false;
    const auto known = state.blocked.find(cause);
    const bool isNew = known == state.blocked.end();
    if (isNew && state.blocked.size() >= maxBlockedCauses)
        return false;
    if (isNew || known->second.until <= now) {
        state.blocked[cause] = block;
        return true;
    }
    return false;
}

std::size_t crashCount(const CrashCauses &state, const Cause &cause)
{
    return static_cast<std::size_t>(
        std::count_if(state.crashes.begin(), state.crashes.end(), [&](const TargetCrash &crash) {
            return countsAgainst(state, crash, cause);
        }));
}

bool isSuspected(const CrashCauses &state, const std::vector<Cause> &causes)
{
    return std::any_of(causes.begin(), causes.end(), [&](const Cause &cause) {
        return !isSound(state, cause) && crashCount(state, cause) > 0;
    });
}

std::optional<Milliseconds> blockedFor(const CrashCauses &state, const std::vector<Cause> &causes,
                                       Milliseconds now)
{
    std::optional<Milliseconds> longest;
    for (const Cause &cause : causes) {
        const auto found = state.blocked.find(cause);
        if (found != state.blocked.end() && now < found->second.until)
            longest = std::max(longest.value_or(Milliseconds()), found->second.until - now);
    }
    return longest;
}

void removeExpired(CrashCauses &state, Milliseconds now)
{
    for (auto position = state.blocked.begin(); position != state.blocked.end();) {
        const CauseBlock &block = position->second;
        const bool isForgotten = now >= block.until + (block.until - block.from);
        position = isForgotten ? state.blocked.erase(position) : std::next(position);
    }
    while (!state.crashes.empty() && now - state.crashes.front().at >= crashMemory)
        state.crashes.pop_front();
    for (auto position = state.uses.begin(); position != state.uses.end();)
        position = now - position->second.usedAt >= causeMemory ? state.uses.erase(position)
                                                                : std::next(position);
    boundUses(state.uses);
}

} // namespace egretmount::limits
