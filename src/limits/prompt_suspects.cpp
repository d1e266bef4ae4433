#include <egretmount/limits/prompt_suspects.h>

#include <algorithm>
#include <iterator>

namespace egretmount::limits {

namespace {

// Counts of received prompts are halved at this interval, so that they follow the present load.
constexpr Milliseconds decayInterval = Milliseconds(30'000);

// A crash that a blocked part was implicated in says nothing about the other parts.
bool isExplained(const PromptSuspects &suspects, const TargetCrash &crash, PromptPartId exceptBy)
{
    return std::any_of(crash.parts.begin(), crash.parts.end(), [&](PromptPartId part) {
        return part != exceptBy && suspects.blocked.count(part) > 0;
    });
}

bool countsAgainst(const PromptSuspects &suspects, const TargetCrash &crash, PromptPartId part)
{
    return crash.parts.count(part) > 0 && !isExplained(suspects, crash, part);
}

// Instances that have not received the part themselves leave the decision to those that have.
bool isBlockable(const PromptSuspects &suspects, PromptPartId part)
{
    const auto found = suspects.parts.find(part);
    if (found == suspects.parts.end() || found->second.isSound || found->second.received <= 0)
        return false;
    const auto ofRoute = suspects.receivedByRoute.find(found->second.route);
    return ofRoute != suspects.receivedByRoute.end()
           && found->second.received <= maxBlockableShare * ofRoute->second;
}

bool isProvenToCrash(const PromptSuspects &suspects, PromptPartId part)
{
    std::optional<Milliseconds> first;
    Milliseconds last;
    for (const TargetCrash &crash : suspects.crashes) {
        if (!countsAgainst(suspects, crash, part))
            continue;
        first = std::min(first.value_or(crash.at), crash.at);
        last = std::max(last, crash.at);
    }
    return crashCount(suspects, part) >= minCrashesToBlock && last - *first >= minCrashSpan;
}

TargetCrash &crashOf(PromptSuspects &suspects, std::uint64_t target, Milliseconds at)
{
    const auto known =
        std::find_if(suspects.crashes.begin(), suspects.crashes.end(), [&](const auto &crash) {
            return crash.target == target && crash.at <= at + sameCrashTime
                   && at <= crash.at + sameCrashTime;
        });
    if (known != suspects.crashes.end())
        return *known;
    if (suspects.crashes.size() >= maxTargetCrashes)
        suspects.crashes.pop_front();
    suspects.crashes.push_back({ target, at, {} });
    return suspects.crashes.back();
}

// Blocks again those parts whose block has ended.
std::vector<PromptPartId> reblockExpired(PromptSuspects &suspects, const TargetCrash &crash,
                                         Milliseconds now)
{
    std::vector<PromptPartId> parts;
    for (auto &[part, block] : suspects.blocked) {
        if (now < block.until || crash.parts.count(part) == 0)
            continue;
        const Milliseconds time = std::min((block.until - block.from) * 2, maxPromptBlockTime);
        block = { now, now + time };
        parts.push_back(part);
    }
    return parts;
}

// Keeps the parts that were used last.
void boundParts(std::map<PromptPartId, PromptPart> &parts)
{
    if (parts.size() <= maxPromptParts)
        return;
    std::vector<Milliseconds> uses;
    uses.reserve(parts.size());
    for (const auto &[id, part] : parts)
        uses.push_back(part.usedAt);
    const std::vector<Milliseconds>::iterator oldestKept =
        uses.end() - static_cast<std::ptrdiff_t>(maxPromptParts / 2);
    std::nth_element(uses.begin(), oldestKept, uses.end());
    for (auto position = parts.begin(); position != parts.end();)
        position =
            position->second.usedAt < *oldestKept ? parts.erase(position) : std::next(position);
}

} // namespace

void recordPrompt(PromptSuspects &suspects, std::uint64_t route,
                  const std::vector<PromptPartId> &parts, Milliseconds now)
{
    if (now - suspects.decayedAt >= decayInterval) {
        suspects.decayedAt = now;
        for (auto &[id, received] : suspects.receivedByRoute)
            received /= 2;
        for (auto &[id, part] : suspects.parts)
            part.received /= 2;
    }
    if (suspects.receivedByRoute.size() >= maxPromptRoutes
        && suspects.receivedByRoute.count(route) == 0)
        suspects.receivedByRoute.clear(); // routes of earlier configurations
    suspects.receivedByRoute[route] += 1;
    for (const PromptPartId id : parts) {
        PromptPart &part = suspects.parts[id];
        part.usedAt = now;
        part.received += 1;
        part.route = route;
    }
}

std::vector<PromptPartId> recordSound(PromptSuspects &suspects,
                                      const std::vector<PromptPartId> &parts, Milliseconds now)
{
    std::vector<PromptPartId> cleared;
    for (const PromptPartId id : parts) {
        const bool wasSuspected = isSuspected(suspects, { id }) || suspects.blocked.count(id) > 0;
        PromptPart &part = suspects.parts[id];
        part.usedAt = now;
        part.isSound = true;
        suspects.blocked.erase(id);
        if (wasSuspected)
            cleared.push_back(id);
    }
    return cleared;
}

bool isSound(const PromptSuspects &suspects, PromptPartId part)
{
    const auto found = suspects.parts.find(part);
    return found != suspects.parts.end() && found->second.isSound;
}

std::vector<PromptPartId> unprovenParts(const PromptSuspects &suspects,
                                        const std::vector<PromptPartId> &parts)
{
    std::vector<PromptPartId> unproven;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(unproven),
                 [&](PromptPartId part) { return !isSound(suspects, part); });
    return unproven;
}

std::vector<PromptPartId> recordCrash(PromptSuspects &suspects, std::uint64_t target,
                                      const std::vector<PromptPartId> &parts, Milliseconds at,
                                      Milliseconds now)
{
    TargetCrash &crash = crashOf(suspects, target, at);
    for (const PromptPartId part : parts) {
        if (crash.parts.size() < maxPartsPerCrash)
            crash.parts.insert(part);
    }
    std::vector<PromptPartId> newlyBlocked = reblockExpired(suspects, crash, now);
    // Parts that are implicated in as many crashes cannot be told apart and are blocked together.
    std::size_t mostCrashes = 0;
    std::vector<PromptPartId> candidates;
    for (const PromptPartId part : crash.parts) {
        if (suspects.blocked.count(part) > 0 || !isBlockable(suspects, part)
            || !isProvenToCrash(suspects, part))
            continue;
        const std::size_t count = crashCount(suspects, part);
        if (count > mostCrashes)
            candidates.clear();
        mostCrashes = std::max(mostCrashes, count);
        if (count == mostCrashes)
            candidates.push_back(part);
    }
    for (const PromptPartId part : candidates) {
        if (suspects.blocked.size() >= maxBlockedParts)
            break;
        suspects.blocked[part] = { now, now + promptBlockTime };
        newlyBlocked.push_back(part);
    }
    return newlyBlocked;
}

bool recordBlock(PromptSuspects &suspects, PromptPartId part, const PromptBlock &block,
                 Milliseconds now)
{
    if (isSound(suspects, part) || block.until <= now)
        return false;
    const auto known = suspects.blocked.find(part);
    const bool isNew = known == suspects.blocked.end();
    if (isNew && suspects.blocked.size() >= maxBlockedParts)
        return false;
    if (isNew || known->second.until <= now) {
        suspects.blocked[part] = block;
        return true;
    }
    return false;
}

std::size_t crashCount(const PromptSuspects &suspects, PromptPartId part)
{
    return static_cast<std::size_t>(std::count_if(
        suspects.crashes.begin(), suspects.crashes.end(),
        [&](const TargetCrash &crash) { return countsAgainst(suspects, crash, part); }));
}

bool isSuspected(const PromptSuspects &suspects, const std::vector<PromptPartId> &parts)
{
    return std::any_of(parts.begin(), parts.end(), [&](PromptPartId part) {
        return !isSound(suspects, part) && crashCount(suspects, part) > 0;
    });
}

std::optional<Milliseconds> blockedFor(const PromptSuspects &suspects,
                                       const std::vector<PromptPartId> &parts, Milliseconds now)
{
    std::optional<Milliseconds> longest;
    for (const PromptPartId part : parts) {
        const auto found = suspects.blocked.find(part);
        if (found != suspects.blocked.end() && now < found->second.until)
            longest = std::max(longest.value_or(Milliseconds()), found->second.until - now);
    }
    return longest;
}

void removeExpired(PromptSuspects &suspects, Milliseconds now)
{
    for (auto position = suspects.blocked.begin(); position != suspects.blocked.end();) {
        const PromptBlock &block = position->second;
        const bool isForgotten = now >= block.until + (block.until - block.from);
        position = isForgotten ? suspects.blocked.erase(position) : std::next(position);
    }
    while (!suspects.crashes.empty() && now - suspects.crashes.front().at >= crashMemory)
        suspects.crashes.pop_front();
    for (auto position = suspects.parts.begin(); position != suspects.parts.end();)
        position = now - position->second.usedAt >= promptPartMemory
                       ? suspects.parts.erase(position)
                       : std::next(position);
    boundParts(suspects.parts);
}

} // namespace egretmount::limits
