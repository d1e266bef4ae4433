#include <egretmount/routing/choice.h>

#include <algorithm>
#include <tuple>

namespace egretmount::routing {

namespace {

constexpr double leastRampShare = 0.1;
constexpr double longPrefillPenaltyMs = 4; // a long prefill slows the whole batch
constexpr double otherZoneMs = 2; // round trip to another availability zone
constexpr double mostWaitMs = 40; // at a target; more waits at the instance, where order counts
constexpr TokenCount leastWindow = 16'000; // prompt tokens that a target may always be sent
constexpr double equalWaitMs = 1; // shorter differences count as equal

struct Rank
{
    std::int64_t wait = 0; // in steps of `equalWaitMs`
    std::int64_t slots = 0;

    bool isBetterThan(const Rank &other) const
    {
        return std::tie(wait, slots) < std::tie(other.wait, other.slots);
    }
};

double othersWaiting(const TargetView &view, double rate, Milliseconds now)
{
    const double elapsed = static_cast<double>((now - view.reportedAt).count());
    return std::max(0.0, static_cast<double>(view.othersWaiting) - elapsed * rate);
}

// While a long request waits for the pool, short ones there may not take the memory that it needs.
bool leavesRoomForLong(const TargetView &view, const Request &request, TokenCount keptFree)
{
    return view.shortTokens + request.memoryTokens() + keptFree <= view.spendable.tokens
           && view.inFlight.slots + 1 < view.spendable.slots;
}

// Work that waits at a target can no longer be put in order. The share of the target's slots stands
// for the part of its queue that this instance may fill.
bool isQueueShort(const TargetView &view, LengthClass length, LanePolicy policy, double rate)
{
    const double share = static_cast<double>(view.spendable.slots)
                         / static_cast<double>(std::max<std::int64_t>(1, view.capacity.slots));
    const double window = std::max(rate * mostWaitMs, static_cast<double>(leastWindow)) * share;
    const TokenCount before = ownTokensBefore(view, length, policy);
    return before == 0 || static_cast<double>(before) <= window;
}

} // namespace

double rampShare(const TargetView &view, Milliseconds now)
{
    const Milliseconds since = now - view.rampStart;
    if (!view.isRamping || since >= slowStart)
        return 1;
    const double share =
        static_cast<double>(since.count()) / static_cast<double>(slowStart.count());
    return std::max(leastRampShare, share);
}

bool hasRoom(const TargetView &view, const Request &request, Milliseconds now)
{
    const double share = rampShare(view, now);
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

void noteSent(TargetView &view, const Request &request, Milliseconds now)
{
    view.inFlight.tokens += request.memoryTokens();
    ++view.inFlight.slots;
    view.pending.push_back({ request.id, request.promptTokens, now });
    view.waitingPromptTokens += request.promptTokens;
    if (isLongClass(lengthClassOf(request.promptTokens)))
        ++view.longPending;
    else
        view.shortTokens += request.memoryTokens();
}

void notePrefilled(TargetView &view, const Request &request)
{
    const auto found =
        std::find_if(view.pending.begin(), view.pending.end(),
                     [&](const PendingPrompt &prompt) { return prompt.request == request.id; });
    if (found == view.pending.end())
        return;
    view.waitingPromptTokens -= found->tokens;
    if (isLongClass(lengthClassOf(found->tokens)))
        --view.longPending;
    view.pending.erase(found);
}

void noteEnded(TargetView &view, const Request &request)
{
    notePrefilled(view, request);
    view.inFlight.tokens -= request.memoryTokens();
    --view.inFlight.slots;
    if (!isLongClass(lengthClassOf(request.promptTokens)))
        view.shortTokens -= request.memoryTokens();
}

void noteReport(TargetView &view, const LoadReport &report, Milliseconds now)
{
    // Own prompts sent after the report was made are not in it.
    const Milliseconds madeAt = now - assumedReportLag;
    TokenCount ownLoadInReport = 0;
    for (const PendingPrompt &prompt : view.pending) {
        if (prompt.sentAt <= madeAt)
            ownLoadInReport += prompt.tokens;
    }
    view.report = report;
    view.othersWaiting = std::max<TokenCount>(0, report.waitingPromptTokens - ownLoadInReport);
    view.reportedAt = now;
}

TokenCount ownTokensBefore(const TargetView &view, LengthClass length, LanePolicy policy)
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
                      double usualRate, Milliseconds now)
{
    const double rate = prefillRate(view.rates, usualRate, now);
    const double others = othersWaiting(view, rate, now);
    if (policy != LanePolicy::Elastic || isLongClass(length))
        return (static_cast<double>(view.waitingPromptTokens) + others) / rate;
    // The engine serves short prompts first, so a long one costs them a slower batch only.
    const double before = static_cast<double>(ownTokensBefore(view, length, policy))
                          + std::min(others, static_cast<double>(mediumPromptTokens));
    const bool hasLong = view.longPending > 0 || others > static_cast<double>(mediumPromptTokens);
    return before / rate + (hasLong ? longPrefillPenaltyMs : 0);
}

std::optional<std::size_t> chooseTarget(const Candidates &candidates, const Request &request,
                                        LanePolicy policy, const ZoneId &ownZone, Milliseconds now)
{
    const LengthClass length = lengthClassOf(request.promptTokens);
    const bool isLong = isLongClass(length);
    const bool isAlone = policy == LanePolicy::Elastic && isLong;
    const std::size_t poolEnd = isLong ? 0 : candidates.poolEnd;
    std::optional<std::size_t> best;
    Rank bestRank;
    for (std::size_t i = candidates.first; i < candidates.last; ++i) {
        const TargetView &view = candidates.views[candidates.order[i]];
        if (!hasRoom(view, request, now) || (isAlone && view.longPending > 0))
            continue;
        if (policy == LanePolicy::Elastic
            && !isQueueShort(view, length, policy, candidates.usualRate))
            continue;
        if (i < poolEnd && !leavesRoomForLong(view, request, candidates.keptFree))
            continue;
        const double wait = expectedWaitMs(view, length, policy, candidates.usualRate, now)
                            + (view.zone == ownZone ? 0 : otherZoneMs);
        const Rank rank { static_cast<std::int64_t>(wait / equalWaitMs), view.inFlight.slots };
        if (!best || rank.isBetterThan(bestRank)) {
            best = candidates.order[i];
            bestRank = rank;
        }
    }
    return best;
}

} // namespace egretmount::routing
