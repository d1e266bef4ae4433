#include <egretmount/routing/choice.h>

#include <algorithm>
#include <tuple>

namespace egretmount::routing {

namespace {

constexpr double minSlowStartShare = 0.1;
constexpr double longPrefillPenaltyMs = 4; // a long prefill slows down the whole batch
constexpr double crossZoneLatencyMs = 2; // round trip to another availability zone
// Prefill time queued at a target. More is queued at the instance, which can still reorder it.
constexpr double maxTargetQueueMs = 40;
constexpr TokenCount minTargetQueueTokens = 16'000; // prompt tokens, also at a low prefill rate
constexpr double waitResolutionMs = 1; // waits in the same interval of this length count as equal

struct Rank
{
    std::int64_t wait = 0; // in steps of `waitResolutionMs`
    std::int64_t slots = 0;

    bool isBetterThan(const Rank &other) const
    {
        return std::tie(wait, slots) < std::tie(other.wait, other.slots);
    }
};

double estimateOthersQueuedTokens(const TargetView &view, double rate, Milliseconds now)
{
    const double elapsed = static_cast<double>((now - view.reportedAt).count());
    return std::max(0.0, static_cast<double>(view.othersQueuedTokens) - elapsed * rate);
}

// Returns true if a short request in the long pool leaves the memory and the slot that the next
// queued long request needs.
bool leavesRoomForLong(const TargetView &view, const Request &request, TokenCount reservedMemory)
{
    return view.shortRequestMemory + request.memoryTokens() + reservedMemory
               <= view.spendable.tokens
           && view.inFlight.slots + 1 < view.spendable.slots;
}

// Returns true if the instance may queue more prompts at a target. The instance cannot reorder
// prompts that are queued there. Its part of the target's queue equals its share of the target's
// slots.
bool hasQueueCapacity(const TargetView &view, LengthClass length, LanePolicy policy, double rate)
{
    const double share = static_cast<double>(view.spendable.slots)
                         / static_cast<double>(std::max<std::int64_t>(1, view.capacity.slots));
    const double window =
        std::max(rate * maxTargetQueueMs, static_cast<double>(minTargetQueueTokens)) * share;
    const TokenCount before = ownPromptTokensAhead(view, length, policy);
    return before == 0 || static_cast<double>(before) <= window;
}

} // namespace

double slowStartShare(const TargetView &view, Milliseconds now)
{
    const Milliseconds since = now - view.slowStartBegin;
    if (!view.isInSlowStart || since >= slowStartDuration)
        return 1;
    const double share =
        static_cast<double>(since.count()) / static_cast<double>(slowStartDuration.count());
    return std::max(minSlowStartShare, share);
}

bool hasRoom(const TargetView &view, const Request &request, Milliseconds now)
{
    const double share = slowStartShare(view, now);
    const double slots = std::max(1.0, static_cast<double>(view.spendable.slots) * share);
    if (view.inFlight.slots >= std::min(view.spendable.slots, static_cast<std::int64_t>(slots)))
        return false;
    if (view.spendable.tokens == 0 || view.inFlight.slots == 0)
        return fitsShare(view, request);
    const double tokens = static_cast<double>(view.spendable.tokens) * share;
    return static_cast<double>(view.inFlight.tokens + request.memoryTokens()) <= tokens;
}

bool fitsShare(const TargetView &view, const Request &request)
{
    const bool hasTokens =
        view.capacity.tokens == 0 || request.memoryTokens() <= view.spendable.tokens;
    return hasTokens && view.spendable.slots > 0;
}

void recordSent(TargetView &view, const Request &request, Milliseconds now)
{
    view.inFlight.tokens += request.memoryTokens();
    ++view.inFlight.slots;
    view.pending.push_back({ request.id, request.promptTokens, now });
    view.waitingPromptTokens += request.promptTokens;
    if (isLongClass(lengthClassOf(request.promptTokens)))
        ++view.pendingLongPrompts;
    else
        view.shortRequestMemory += request.memoryTokens();
}

void recordFirstToken(TargetView &view, const Request &request)
{
    const auto found =
        std::find_if(view.pending.begin(), view.pending.end(),
                     [&](const PendingPrompt &prompt) { return prompt.request == request.id; });
    if (found == view.pending.end())
        return;
    view.waitingPromptTokens -= found->tokens;
    if (isLongClass(lengthClassOf(found->tokens)))
        --view.pendingLongPrompts;
    view.pending.erase(found);
}

void recordEnded(TargetView &view, const Request &request)
{
    recordFirstToken(view, request);
    view.inFlight.tokens -= request.memoryTokens();
    --view.inFlight.slots;
    if (!isLongClass(lengthClassOf(request.promptTokens)))
        view.shortRequestMemory -= request.memoryTokens();
}

void applyReport(TargetView &view, const LoadReport &report, Milliseconds now)
{
    // The report does not include own prompts that were sent after it was made.
    const Milliseconds madeAt = now - estimatedReportAge;
    TokenCount ownLoadInReport = 0;
    for (const PendingPrompt &prompt : view.pending) {
        if (prompt.sentAt <= madeAt)
            ownLoadInReport += prompt.tokens;
    }
    view.report = report;
    view.othersQueuedTokens = std::max<TokenCount>(0, report.waitingPromptTokens - ownLoadInReport);
    view.reportedAt = now;
}

TokenCount ownPromptTokensAhead(const TargetView &view, LengthClass length, LanePolicy policy)
{
    if (policy == LanePolicy::Fifo || policy == LanePolicy::Static)
        return view.waitingPromptTokens;
    TokenCount before = 0;
    for (const PendingPrompt &prompt : view.pending) {
        if (lengthClassOf(prompt.tokens) <= length)
            before += prompt.tokens;
    }
    return before;
}

double expectedWaitMs(const TargetView &view, LengthClass length, LanePolicy policy,
                      double servicePrefillRate, Milliseconds now)
{
    const double rate = prefillRate(view.rates, servicePrefillRate, now);
    const double others = estimateOthersQueuedTokens(view, rate, now);
    if (policy != LanePolicy::Elastic || isLongClass(length))
        return (static_cast<double>(view.waitingPromptTokens) + others) / rate;
    // The engine prefills short prompts first, so a long one delays them only by a slower batch.
    const double before = static_cast<double>(ownPromptTokensAhead(view, length, policy))
                          + std::min(others, static_cast<double>(mediumPromptTokens));
    const bool hasLong =
        view.pendingLongPrompts > 0 || others > static_cast<double>(mediumPromptTokens);
    return before / rate + (hasLong ? longPrefillPenaltyMs : 0);
}

std::optional<std::size_t> chooseTarget(const Candidates &candidates, const Request &request,
                                        LanePolicy policy, const ZoneId &ownZone, Milliseconds now)
{
    const LengthClass length = lengthClassOf(request.promptTokens);
    const bool isLong = isLongClass(length);
    const bool isOneLongPerTarget = policy == LanePolicy::Elastic && isLong;
    const std::size_t longPoolEnd = isLong ? 0 : candidates.longPoolEnd;
    std::optional<std::size_t> best;
    Rank bestRank;
    for (std::size_t i = candidates.first; i < candidates.last; ++i) {
        const TargetView &view = candidates.views[candidates.order[i]];
        if (!hasRoom(view, request, now) || (isOneLongPerTarget && view.pendingLongPrompts > 0))
            continue;
        if (policy == LanePolicy::Elastic
            && !hasQueueCapacity(view, length, policy, candidates.servicePrefillRate))
            continue;
        if (i < longPoolEnd && !leavesRoomForLong(view, request, candidates.reservedMemory))
            continue;
        const double wait = expectedWaitMs(view, length, policy, candidates.servicePrefillRate, now)
                            + (view.zone == ownZone ? 0 : crossZoneLatencyMs);
        const Rank rank { static_cast<std::int64_t>(wait / waitResolutionMs), view.inFlight.slots };
        if (!best || rank.isBetterThan(bestRank)) {
            best = candidates.order[i];
            bestRank = rank;
        }
    }
    return best;
}

} // namespace egretmount::routing
