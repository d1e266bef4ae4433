#include <egretmount/placement/planner.h>

#include <algorithm>
#include <array>
#include <cmath>

#include <egretmount/placement/engine_cost.h>

#include "engine_load.h"

namespace egretmount::placement {

namespace {

// Part of a request's weight that is lost if it is late or has a pause that is too long.
constexpr double lateLoss = 0.75; // answers in time are worth about four times late ones
// Lateness counts from this share of a target on, fully from the second one: estimates are off by
// a fifth or so.
constexpr double lateFrom = 0.7;
constexpr double lateFully = 1.05;
constexpr double pauseFrom = 0.8;
constexpr double pauseFully = 1.05;
// Share of the weight for an answer at the latency target against one at once; breaks ties.
constexpr double slownessLoss = 0.08;
// Share of the weight for each further engine: one more that can fail or be late.
constexpr double partLoss = 0.004;
// Cost of taking an engine that nobody writes at; keeps writers of a kind together.
constexpr double spreadLoss = 0.06;
// A prompt that an engine reads within this time is short: split in two it stays, with the rest of
// a pass, below the shortest pauses that callers notice.
constexpr double shortReadingMs = 250;
// Reading of a long prompt's part that the short lane bears, with what is to be read there already.
constexpr double laneReadingMs = 90;
// Part of an engine's slots that the short lane is planned to fill: arrivals come in clumps.
constexpr double laneFill = 0.7;
// Part of all engines that the short lane leaves to long prompts.
constexpr double longShare = 0.1;
// Cost of placing a short request outside its lane, as a share of its weight.
constexpr double outOfLaneLoss = 0.1;
// Requests that write at one engine before others are preferred, as a share of its slots.
constexpr double slotFill = 0.8;
// Fixed time of a request on the way to an engine and back, milliseconds.
constexpr double transitMs = 8;

// Part of an engine's memory that is planned with: writers grow, and reports lag.
constexpr double memoryShare = 0.97;
// Free memory that the first engine of a prompt needs at least if the rest is set aside elsewhere.
constexpr double ticketFirstShare = 0.4;
constexpr std::size_t maxTickets = 3; // engines asked to set memory aside; each is an order

constexpr std::array<int, 9> partChoices = { 1, 2, 3, 4, 6, 8, 11, 14, maxParts };

double ramp(double value, double from, double to)
{
    return std::clamp((value - from) / (to - from), 0.0, 1.0);
}

// One way to serve a request: so many parts, from a certain time on.
struct Attempt
{
    double partMs = 0;
    double perPass = 0; // of the part, milliseconds
    double startMs = 0;
    int parts = 1;
    bool isLongPrompt = false;
    bool usesTickets = false; // helpers set memory aside
};

struct Option
{
    const EngineLoad *load = nullptr;
    double finish = 0; // milliseconds from now until the part is read
    double harm = 0; // weight lost by others, and doubts about the engine
    double cost = 0; // harm and own lateness if this engine were the slowest
};

double backlogAt(const EngineLoad &load, double startMs)
{
    return std::max(0.0, load.backlog - startMs);
}

// Weight lost by streams at the engine whose pauses grow too long if the part is read as well.
double pauseHarm(const EngineLoad &load, const Attempt &attempt)
{
    const double backlog = backlogAt(load, attempt.startMs);
    const double before = load.passMs + backlog;
    const double after =
        load.passMs
        + std::min(backlog + attempt.partMs * load.pace, std::max(backlog, attempt.perPass));
    double harm = 0;
    for (const LoadedStream &stream : load.streams) {
        const double from = pauseFrom * stream.pauseTarget;
        const double fully = pauseFully * stream.pauseTarget;
        harm += stream.weight * lateLoss * (ramp(after, from, fully) - ramp(before, from, fully));
    }
    return std::max(harm, 0.0);
}

// Weight lost by requests whose parts are read later because this part goes ahead of them.
double delayHarm(const EngineLoad &load, const Attempt &attempt)
{
    if (backlogAt(load, attempt.startMs) <= 0)
        return 0;
    double harm = 0;
    for (const PendingPart &part : load.pending) {
        const double from = part.dueIn - (1 - lateFrom) * part.latencyTarget;
        const double fully = part.dueIn + (lateFully - 1) * part.latencyTarget;
        const double finish = load.backlog + load.passMs;
        const double delay = attempt.partMs * load.pace;
        harm += part.weight
                * (lateLoss * (ramp(finish + delay, from, fully) - ramp(finish, from, fully))
                   + slownessLoss * delay / std::max(part.latencyTarget, 1.0));
    }
    return harm;
}

double latenessCost(const Demand &demand, double firstEventMs)
{
    const double target = static_cast<double>(demand.latencyTarget.count());
    const double patience = static_cast<double>(demand.patience.count());
    const double time = firstEventMs + static_cast<double>(demand.waited.count());
    return demand.weight
           * (lateLoss * ramp(time, lateFrom * target, lateFully * target)
              + (1 - lateLoss) * ramp(firstEventMs, 0.6 * patience, patience)
              + slownessLoss * time / std::max(target, 1.0));
}

// Cost beyond the part's own reading of receiving the request at an engine.
double receivingCost(const EngineLoad &load, const fleet::EngineSpeed &speed, const Demand &demand,
                     const Attempt &attempt)
{
    const double fill =
        static_cast<double>(load.received + load.unknown) / (slotFill * speed.slots);
    double cost = demand.weight * lateLoss * ramp(fill, 1.0, 1.0 / slotFill);
    if (load.shortWriters == 0)
        cost += spreadLoss;
    // The pauses that reading under way will cause to this very stream.
    const double target = static_cast<double>(demand.pauseTarget.count());
    if (target > 0) {
        const double rest = load.passMs + backlogAt(load, attempt.startMs);
        cost += demand.weight * lateLoss * ramp(rest, pauseFrom * target, pauseFully * target);
    }
    return cost;
}

TokenCount neededMemory(const fleet::EngineSpeed &speed, const Demand &demand)
{
    return demand.promptTokens + std::min(demand.answerTokens, speed.usualAnswer);
}

TokenCount freeMemory(const EngineLoad &load, const fleet::EngineSpeed &speed)
{
    const TokenCount usable =
        static_cast<TokenCount>(static_cast<double>(speed.memoryTokens) * memoryShare);
    return std::max<TokenCount>(usable - load.memory, 0);
}

bool canReceive(const EngineLoad &load, const fleet::EngineSpeed &speed, const Demand &demand,
                const Attempt &attempt)
{
    if (!load.candidate->mayReceive || load.received + load.helped >= 2 * speed.slots)
        return false;
    const TokenCount least =
        attempt.usesTickets
            ? static_cast<TokenCount>(static_cast<double>(speed.memoryTokens) * ticketFirstShare)
            : neededMemory(speed, demand);
    return freeMemory(load, speed) >= least;
}

// Spreads what the first engine has no room for over the helpers with most room. False if there is
// not enough.
bool assignMemory(Plan &plan, const std::vector<EngineLoad> &loads, const fleet::EngineSpeed &speed,
                  const Demand &demand)
{
    plan.memory.assign(plan.engines.size(), 0);
    std::vector<std::pair<TokenCount, std::size_t>> rooms;
    for (std::size_t i = 0; i < plan.engines.size(); ++i) {
        for (const EngineLoad &load : loads) {
            if (load.candidate->key == plan.engines[i])
                rooms.emplace_back(freeMemory(load, speed), i);
        }
    }
    TokenCount left = neededMemory(speed, demand);
    plan.memory[0] = std::min(left, rooms[0].first);
    left -= plan.memory[0];
    std::sort(rooms.begin() + 1, rooms.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    for (std::size_t i = 1; i < rooms.size() && i <= maxTickets && left > 0; ++i) {
        const TokenCount taken = std::min(left, rooms[i].first);
        plan.memory[rooms[i].second] = taken;
        left -= taken;
    }
    return left <= 0;
}

bool canRead(const EngineLoad &load, const fleet::EngineSpeed &speed, const Attempt &attempt)
{
    if (!load.candidate->mayHelp && !load.candidate->mayReceive)
        return false;
    if (load.helped >= speed.slots)
        return false;
    return !attempt.isLongPrompt || !load.isInLane
           || load.backlog + attempt.partMs <= laneReadingMs;
}

std::vector<Option> optionsOf(const std::vector<EngineLoad> &loads, const fleet::EngineSpeed &speed,
                              const Demand &demand, const Attempt &attempt)
{
    std::vector<Option> options;
    for (const EngineLoad &load : loads) {
        if (!canRead(load, speed, attempt))
            continue;
        Option option;
        option.load = &load;
        const double passWait = load.received > 0 ? load.passMs / 2 : 0;
        // Parts go ahead of what an engine reads; a whole short prompt waits its turn.
        const bool waitsItsTurn = attempt.parts == 1 && !attempt.isLongPrompt;
        const double start = waitsItsTurn ? load.backlog : attempt.startMs;
        option.finish = start + attempt.partMs * load.pace + passWait;
        option.harm = load.candidate->penalty + pauseHarm(load, attempt);
        if (!waitsItsTurn)
            option.harm += delayHarm(load, attempt);
        if (!attempt.isLongPrompt && !load.isInLane)
            option.harm += demand.weight * outOfLaneLoss;
        option.cost = option.harm + latenessCost(demand, option.finish);
        options.push_back(option);
    }
    return options;
}

// The option at which receiving the request costs least. Null if none can receive it.
const Option *cheapestFirst(const std::vector<Option> &options, const fleet::EngineSpeed &speed,
                            const Demand &demand, const Attempt &attempt)
{
    const Option *first = nullptr;
    double least = 0;
    for (const Option &option : options) {
        if (!canReceive(*option.load, speed, demand, attempt))
            continue;
        const double cost = option.cost + receivingCost(*option.load, speed, demand, attempt);
        if (first == nullptr || cost < least) {
            first = &option;
            least = cost;
        }
    }
    return first;
}

std::optional<Plan> planAttempt(const std::vector<EngineLoad> &loads,
                                const fleet::EngineSpeed &speed, const Demand &demand,
                                const Attempt &attempt)
{
    std::vector<Option> options = optionsOf(loads, speed, demand, attempt);
    const std::size_t parts = static_cast<std::size_t>(attempt.parts);
    const Option *found =
        options.size() < parts ? nullptr : cheapestFirst(options, speed, demand, attempt);
    if (found == nullptr)
        return std::nullopt;
    const Option first = *found;
    Plan plan;
    plan.partMs = attempt.partMs;
    plan.startMs = attempt.startMs;
    plan.engines.push_back(first.load->candidate->key);
    double finish = first.finish;
    double harm = first.harm + receivingCost(*first.load, speed, demand, attempt);
    std::sort(options.begin(), options.end(),
              [](const Option &a, const Option &b) { return a.cost < b.cost; });
    for (const Option &option : options) {
        if (plan.engines.size() == parts)
            break;
        if (option.load == first.load || !option.load->candidate->mayHelp)
            continue;
        plan.engines.push_back(option.load->candidate->key);
        finish = std::max(finish, option.finish);
        harm += option.harm;
    }
    if (plan.engines.size() < parts)
        return std::nullopt;
    if (!assignMemory(plan, loads, speed, demand))
        return std::nullopt;
    plan.firstEventMs = finish + first.load->passMs + transitMs;
    plan.cost =
        harm + latenessCost(demand, plan.firstEventMs) + demand.weight * partLoss * attempt.parts;
    return plan;
}

// When so many engines that may read the part are expected to be free.
std::optional<double> timeOfFreeEngines(const std::vector<EngineLoad> &loads,
                                        const fleet::EngineSpeed &speed, const Attempt &attempt)
{
    std::vector<double> backlogs;
    for (const EngineLoad &load : loads) {
        if (canRead(load, speed, attempt))
            backlogs.push_back(load.backlog);
    }
    if (backlogs.size() < static_cast<std::size_t>(attempt.parts))
        return std::nullopt;
    const auto position = backlogs.begin() + (attempt.parts - 1);
    std::nth_element(backlogs.begin(), position, backlogs.end());
    return *position;
}

std::optional<Plan> bestPlan(const std::vector<EngineLoad> &loads, const fleet::EngineSpeed &speed,
                             const Demand &demand, Attempt attempt)
{
    std::optional<Plan> best;
    const auto consider = [&] {
        const std::optional<Plan> plan = planAttempt(loads, speed, demand, attempt);
        if (plan && (!best || plan->cost < best->cost))
            best = plan;
    };
    for (const int parts : partChoices) {
        if (parts > 1 && demand.promptTokens / parts < speed.chunkTokens)
            break;
        attempt.parts = parts;
        attempt.partMs = partReadingTime(speed, demand.promptTokens, parts);
        attempt.perPass = readingPerPass(speed, attempt.partMs, demand.promptTokens / parts);
        attempt.startMs = 0;
        consider();
        const std::optional<double> free = attempt.isLongPrompt && demand.mayWait
                                               ? timeOfFreeEngines(loads, speed, attempt)
                                               : std::nullopt;
        if (free && *free > 0) {
            attempt.startMs = *free;
            consider();
        }
    }
    return best;
}

} // namespace

double weightOf(const fleet::EngineSpeed &speed, TokenCount promptTokens)
{
    const double usual = static_cast<double>(std::max<TokenCount>(speed.usualPrompt, 1));
    return 1 + static_cast<double>(promptTokens) / usual;
}

bool isShort(const fleet::EngineSpeed &speed, TokenCount promptTokens)
{
    return partReadingTime(speed, promptTokens, 1) <= shortReadingMs;
}

int shortLaneSize(const fleet::EngineSpeed &speed, const Outlook &outlook, int engines)
{
    const int needed =
        static_cast<int>(std::ceil(outlook.shortRequests / (laneFill * speed.slots))) + 1;
    const int forLong = std::max(1, static_cast<int>(std::lround(engines * longShare)));
    return std::clamp(needed, 0, std::max(0, engines - forLong));
}

std::optional<Plan> planPlacement(const Ledger &ledger, const fleet::EngineSpeed &speed,
                                  const std::vector<Candidate> &candidates, const Demand &demand,
                                  const Outlook &outlook, Milliseconds now)
{
    std::vector<EngineLoad> loads;
    loads.reserve(candidates.size());
    for (const Candidate &candidate : candidates)
        loads.push_back(loadOf(ledger, speed, candidate, demand, now));
    markLane(loads, shortLaneSize(speed, outlook, static_cast<int>(loads.size())));
    Attempt attempt;
    attempt.isLongPrompt = !isShort(speed, demand.promptTokens);
    std::optional<Plan> plan = bestPlan(loads, speed, demand, attempt);
    if (plan || !attempt.isLongPrompt)
        return plan;
    attempt.usesTickets = true;
    return bestPlan(loads, speed, demand, attempt);
}

} // namespace egretmount::placement
