#include <egretmount/placement/planner.h>

#include <algorithm>
#include <array>
#include <cmath>

#include <egretmount/placement/engine_cost.h>

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
// A prompt that an engine reads within this time is short: with the rest of a pass it stays below
// the shortest pauses that callers notice.
constexpr double shortReadingMs = 200;
// Reading of a long prompt's part that the short lane bears, with what is to be read there already.
constexpr double laneReadingMs = 90;
// Part of an engine's slots that the short lane is planned to fill: arrivals come in clumps.
constexpr double laneFill = 0.7;
// Part of all engines that the short lane leaves to long prompts.
constexpr double longShare = 0.1;
// Cost of placing a short request outside its lane, as a share of its weight.
constexpr double outOfLaneLoss = 0.1;
// Requests that write at one engine before short ones are sent elsewhere, as a share of its slots.
constexpr double slotFill = 0.8;
// Fixed time of a request on the way to an engine and back, milliseconds.
constexpr double transitMs = 8;

constexpr std::array<int, 9> partChoices = { 1, 2, 3, 4, 6, 8, 11, 14, maxParts };

double ramp(double value, double from, double to)
{
    return std::clamp((value - from) / (to - from), 0.0, 1.0);
}

struct Load
{
    const Candidate *candidate = nullptr;
    const EngineState *state = nullptr;
    double backlog = 0;
    double pace = 1;
    double passMs = 0; // with the present writers and the new one
    int received = 0; // requests that write or will write there
    int helped = 0;
    int shortWriters = 0; // with a pause target as tight as the demand's, or tighter
    TokenCount memory = 0;
    bool isInLane = false;
    std::vector<std::pair<double, double>> pauses; // pause target and weight of each stream
};

struct Option
{
    const Load *load = nullptr;
    double finish = 0; // milliseconds until the part is read
    double cost = 0;
};

Load loadOf(const Ledger &ledger, const fleet::EngineSpeed &speed, const Candidate &candidate,
            const Demand &demand, Milliseconds now)
{
    Load load;
    load.candidate = &candidate;
    load.backlog = readingBacklog(ledger, candidate.key, now);
    TokenCount context = demand.promptTokens;
    const auto found = ledger.engines.find(candidate.key);
    if (found != ledger.engines.end()) {
        load.state = &found->second;
        load.pace = found->second.pace;
        for (const std::uint64_t id : found->second.works) {
            const Work &work = ledger.works.at(id);
            if (work.engines.front() != candidate.key) {
                load.helped += work.isWriting ? 0 : 1;
                continue;
            }
            ++load.received;
            load.memory += work.promptTokens + speed.usualAnswer;
            if (work.isWriting)
                context += work.promptTokens;
            if (work.pauseTarget <= demand.pauseTarget)
                ++load.shortWriters;
            if (work.pauseTarget > Milliseconds())
                load.pauses.emplace_back(work.pauseTarget.count(), work.weight);
        }
    }
    load.passMs = writingPassTime(speed, load.received + 1, context) * std::min(load.pace, 4.0);
    return load;
}

// Weight lost by streams at the engine whose pauses grow too long if `extra` is read as well.
double pauseHarm(const Load &load, double extra, double perPass)
{
    const double before = load.passMs + load.backlog;
    const double after = load.passMs + std::min(load.backlog + extra, std::max(load.backlog, perPass));
    double harm = 0;
    for (const auto &[target, weight] : load.pauses) {
        harm += weight * lateLoss
            * (ramp(after, pauseFrom * target, pauseFully * target)
               - ramp(before, pauseFrom * target, pauseFully * target));
    }
    return std::max(harm, 0.0);
}

bool mayRead(const Load &load, bool isLongPrompt, double partMs)
{
    return !isLongPrompt || !load.isInLane || load.backlog + partMs <= laneReadingMs;
}

double latenessCost(const Demand &demand, double firstEventMs)
{
    const double target = static_cast<double>(demand.latencyTarget.count());
    const double patience = static_cast<double>(demand.patience.count());
    return demand.weight
        * (lateLoss * ramp(firstEventMs, lateFrom * target, lateFully * target)
           + (1 - lateLoss) * ramp(firstEventMs, 0.6 * patience, patience)
           + slownessLoss * firstEventMs / std::max(target, 1.0));
}

// Cost beyond the part's own reading of receiving the request at an engine.
double receivingCost(const Load &load, const fleet::EngineSpeed &speed, const Demand &demand,
                     double partMs)
{
    const double fill = static_cast<double>(load.received) / (slotFill * speed.slots);
    double cost = demand.weight * lateLoss * ramp(fill, 1.0, 1.0 / slotFill);
    if (load.shortWriters == 0)
        cost += spreadLoss;
    // The pauses that the reading under way will cause to this very stream.
    const double target = static_cast<double>(demand.pauseTarget.count());
    if (target > 0) {
        const double rest = load.passMs + std::max(0.0, load.backlog - partMs);
        cost += demand.weight * lateLoss * 0.3
            * ramp(rest, pauseFrom * target, pauseFully * 2 * target);
    }
    return cost;
}

bool canReceive(const Load &load, const fleet::EngineSpeed &speed, const Demand &demand)
{
    const TokenCount need = demand.promptTokens + demand.answerTokens;
    return load.candidate->mayReceive && load.received + load.helped < 2 * speed.slots
        && load.memory + std::min(need, demand.promptTokens + speed.usualAnswer)
            <= speed.memoryTokens;
}

// Marks the short lane: the first usable engines in the order of their keys.
void markLane(std::vector<Load> &loads, int size)
{
    std::vector<Load *> inOrder;
    for (Load &load : loads) {
        if (load.candidate->mayReceive && load.candidate->mayHelp)
            inOrder.push_back(&load);
    }
    std::sort(inOrder.begin(), inOrder.end(), [](const Load *a, const Load *b) {
        return a->candidate->key < b->candidate->key;
    });
    for (std::size_t i = 0; i < inOrder.size() && static_cast<int>(i) < size; ++i)
        inOrder[i]->isInLane = true;
}

std::optional<Plan> planParts(const std::vector<Load> &loads, const fleet::EngineSpeed &speed,
                              const Demand &demand, int parts)
{
    const bool isLongPrompt = !isShort(speed, demand.promptTokens);
    const double partMs = partReadingTime(speed, demand.promptTokens, parts);
    const TokenCount partTokens = demand.promptTokens / parts;
    const double perPass = readingPerPass(speed, partMs, partTokens);
    std::vector<Option> options;
    for (const Load &load : loads) {
        const bool isUsable = load.candidate->mayHelp || load.candidate->mayReceive;
        if (!isUsable || !mayRead(load, isLongPrompt, partMs))
            continue;
        Option option;
        option.load = &load;
        const double wait = load.received > 0 ? load.passMs / 2 : 0;
        option.finish = load.backlog + partMs * load.pace + wait;
        option.cost = pauseHarm(load, partMs * load.pace, perPass) + load.candidate->penalty
            + latenessCost(demand, option.finish);
        if (!isLongPrompt && !load.isInLane)
            option.cost += demand.weight * outOfLaneLoss;
        options.push_back(option);
    }
    if (options.size() < static_cast<std::size_t>(parts))
        return std::nullopt;
    const Option *first = nullptr;
    double firstCost = 0;
    for (const Option &option : options) {
        if (!canReceive(*option.load, speed, demand))
            continue;
        const double cost = option.cost + receivingCost(*option.load, speed, demand, partMs);
        if (first == nullptr || cost < firstCost) {
            first = &option;
            firstCost = cost;
        }
    }
    if (first == nullptr)
        return std::nullopt;
    const Load *firstLoad = first->load;
    Plan plan;
    plan.partMs = partMs;
    plan.engines.push_back(firstLoad->candidate->key);
    double finish = first->finish;
    double harm = firstCost - latenessCost(demand, first->finish);
    std::sort(options.begin(), options.end(),
              [](const Option &a, const Option &b) { return a.cost < b.cost; });
    for (const Option &option : options) {
        if (plan.engines.size() == static_cast<std::size_t>(parts))
            break;
        if (option.load == firstLoad || !option.load->candidate->mayHelp
            || option.load->helped >= speed.slots)
            continue;
        plan.engines.push_back(option.load->candidate->key);
        finish = std::max(finish, option.finish);
        harm += option.cost - latenessCost(demand, option.finish);
    }
    if (plan.engines.size() < static_cast<std::size_t>(parts))
        return std::nullopt;
    plan.firstEventMs = finish + firstLoad->passMs + transitMs;
    plan.cost = harm + latenessCost(demand, plan.firstEventMs) + demand.weight * partLoss * parts;
    return plan;
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
    const int needed
        = static_cast<int>(std::ceil(outlook.shortRequests / (laneFill * speed.slots))) + 1;
    const int forLong = std::max(1, static_cast<int>(std::lround(engines * longShare)));
    return std::clamp(needed, 0, std::max(0, engines - forLong));
}

std::optional<Plan> planPlacement(const Ledger &ledger, const fleet::EngineSpeed &speed,
                                  const std::vector<Candidate> &candidates, const Demand &demand,
                                  const Outlook &outlook, Milliseconds now)
{
    std::vector<Load> loads;
    loads.reserve(candidates.size());
    for (const Candidate &candidate : candidates)
        loads.push_back(loadOf(ledger, speed, candidate, demand, now));
    markLane(loads, shortLaneSize(speed, outlook, static_cast<int>(loads.size())));
    std::optional<Plan> best;
    for (const int parts : partChoices) {
        if (parts > 1 && demand.promptTokens / parts < speed.chunkTokens)
            break;
        const std::optional<Plan> plan = planParts(loads, speed, demand, parts);
        if (plan && (!best || plan->cost < best->cost))
            best = plan;
    }
    return best;
}

} // namespace egretmount::placement
