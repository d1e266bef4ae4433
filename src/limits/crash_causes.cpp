#include <egretmount/limits/crash_causes.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include <egretmount/core/random.h>

namespace egretmount::limits {

namespace {

// Counts of received prompts are halved at this interval, so that they follow the present load.
constexpr Milliseconds decayInterval = Milliseconds(30'000);

// Instances that learn of one block from each other compute ends that differ by less.
constexpr Milliseconds sameBlockTime = Milliseconds(1'000);

// A crash that a blocked cause was implicated in says nothing about the other causes.
bool isExplained(const CrashCauses &state, const TargetCrash &crash, const Cause &except)
{
    return std::any_of(state.blocked.begin(), state.blocked.end(), [&](const auto &blocked) {
        return !(blocked.first == except) && crash.causes.count(blocked.first) > 0;
    });
}

bool countsAgainst(const CrashCauses &state, const TargetCrash &crash, const Cause &cause)
{
    return crash.causes.count(cause) > 0 && !isExplained(state, crash, cause);
}

// Instances that have not received a part themselves leave the decision to those that have.
bool isBlockable(const CrashCauses &state, const Cause &cause)
{
    if (cause.kind == CauseKind::Request)
        return !isSound(state, cause);
    const auto found = state.uses.find(cause);
    if (found == state.uses.end() || found->second.isSound || found->second.received <= 0)
        return false;
    const auto ofRoute = state.receivedByRoute.find(found->second.route);
    return ofRoute != state.receivedByRoute.end()
           && found->second.received <= maxBlockableShare * ofRoute->second;
}

// The time between the first and the last crash that count against a cause.
Milliseconds crashSpan(const CrashCauses &state, const Cause &cause)
{
    std::optional<Milliseconds> first;
    Milliseconds last;
    for (const TargetCrash &crash : state.crashes) {
        if (!countsAgainst(state, crash, cause))
            continue;
        first = std::min(first.value_or(crash.at), crash.at);
        last = std::max(last, crash.at);
    }
    return first ? last - *first : Milliseconds();
}

bool isProvenToCrash(const CrashCauses &state, const Cause &cause)
{
    return crashCount(state, cause) >= minCrashesToBlock
           && (cause.kind == CauseKind::Request || crashSpan(state, cause) >= minCrashSpan);
}

Milliseconds firstBlockTime(const CrashCauses &state, const Cause &cause)
{
    return crashSpan(state, cause) < minCrashSpan ? shortBlockTime : causeBlockTime;
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
        if ((now < block.until && !block.isTrial) || crash.causes.count(cause) == 0)
            continue;
        const Milliseconds time =
            std::clamp((block.until - block.from) * 2, causeBlockTime, maxCauseBlockTime);
        block = { now, now + time };
        causes.push_back(cause);
    }
    return causes;
}

// When this instance allows requests again whose cause is blocked.
Milliseconds endOf(const CrashCauses &state, const Cause &cause, const CauseBlock &block)
{
    if (state.instance == 0)
        return block.until;
    const std::uint64_t turn =
        Random(state.instance ^ cause.id).below(static_cast<std::uint64_t>(shortBlockTime.count()));
    return block.until + Milliseconds(static_cast<std::int64_t>(turn));
}

template<typename Counts>
std::optional<Milliseconds> longestBlock(const CrashCauses &state, const std::vector<Cause> &causes,
                                         Milliseconds now, const Counts &counts)
{
    std::optional<Milliseconds> longest;
    for (const Cause &cause : causes) {
        const auto found = state.blocked.find(cause);
        if (found == state.blocked.end() || !counts(found->second))
            continue;
        const Milliseconds left = endOf(state, cause, found->second) - now;
        if (left > Milliseconds())
            longest = std::max(longest.value_or(Milliseconds()), left);
    }
    return longest;
}

// Keeps those causes of a kind that were used last.
void boundUses(std::map<Cause, CauseUse> &uses, CauseKind kind, std::size_t maxCount)
{
    std::vector<Milliseconds> times;
    for (const auto &[cause, use] : uses) {
        if (cause.kind == kind)
            times.push_back(use.usedAt);
    }
    if (times.size() <= maxCount)
        return;
    const std::vector<Milliseconds>::iterator oldestKept =
        times.end() - static_cast<std::ptrdiff_t>(maxCount / 2);
    std::nth_element(times.begin(), oldestKept, times.end());
    for (auto position = uses.begin(); position != uses.end();) {
        const bool isRemoved =
            position->first.kind == kind && position->second.usedAt < *oldestKept;
        position = isRemoved ? uses.erase(position) : std::next(position);
    }
}

Milliseconds memoryOf(CauseKind kind)
{
    return kind == CauseKind::Request ? requestMemory : partMemory;
}

} // namespace

void recordRequest(CrashCauses &state, std::uint64_t route, const std::vector<Cause> &causes,
                   Milliseconds now)
{
    const auto isPart = [](const Cause &cause) { return cause.kind == CauseKind::PromptPart; };
    if (std::none_of(causes.begin(), causes.end(), isPart))
        return;
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
        if (!isPart(cause))
            continue;
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
    // Causes that are implicated in as many crashes cannot be distinguished and are blocked
    // together, but a request rather than the parts that it shares with others.
    std::pair<std::size_t, bool> best;
    std::vector<Cause> candidates;
    for (const Cause &cause : crash.causes) {
        if (state.blocked.count(cause) > 0 || !isBlockable(state, cause)
            || !isProvenToCrash(state, cause))
            continue;
        const std::pair<std::size_t, bool> rank(crashCount(state, cause),
                                                cause.kind == CauseKind::Request);
        if (rank > best)
            candidates.clear();
        best = std::max(best, rank);
        if (rank == best)
            candidates.push_back(cause);
    }
    // All times first, as a blocked cause explains the crashes of the others.
    std::map<Cause, CauseBlock> blocks;
    for (const Cause &cause : candidates)
        blocks[cause] = { now, now + firstBlockTime(state, cause) };
    for (const auto &[cause, block] : blocks) {
        if (state.blocked.size() >= maxBlockedCauses)
            break;
        state.blocked[cause] = block;
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
    if (!isNew && now < known->second.until && block.until <= known->second.until + sameBlockTime)
        return false;
    state.blocked[cause] = block;
    return true;
}

std::vector<BlockedCause> recordSend(CrashCauses &state, const std::vector<Cause> &causes,
                                     Milliseconds now)
{
    std::vector<BlockedCause> heldBack;
    for (const Cause &cause : causes) {
        const auto found = state.blocked.find(cause);
        if (found == state.blocked.end())
            continue;
        found->second.until = now + shortBlockTime;
        found->second.isTrial = true;
        heldBack.push_back({ cause, found->second });
    }
    return heldBack;
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
    return longestBlock(state, causes, now, [](const CauseBlock &) { return true; });
}

std::optional<Milliseconds> blockedForRunning(const CrashCauses &state,
                                              const std::vector<Cause> &causes, Milliseconds now)
{
    return longestBlock(state, causes, now, [](const CauseBlock &block) { return !block.isTrial; });
}

void removeExpired(CrashCauses &state, Milliseconds now)
{
    for (auto position = state.blocked.begin(); position != state.blocked.end();) {
        const CauseBlock &block = position->second;
        const bool isForgotten =
            now >= block.until + std::max(block.until - block.from, crashMemory);
        position = isForgotten ? state.blocked.erase(position) : std::next(position);
    }
    while (!state.crashes.empty() && now - state.crashes.front().at >= crashMemory)
        state.crashes.pop_front();
    for (auto position = state.uses.begin(); position != state.uses.end();)
        position = now - position->second.usedAt >= memoryOf(position->first.kind)
                       ? state.uses.erase(position)
                       : std::next(position);
    boundUses(state.uses, CauseKind::PromptPart, maxKnownParts);
    boundUses(state.uses, CauseKind::Request, maxKnownRequests);
}

} // namespace egretmount::limits
