#include "engine_load.h"

#include <algorithm>

#include <egretmount/placement/engine_cost.h>

namespace egretmount::placement {

namespace {

// Greatest effect of an engine's measured pace on the expected pauses of its streams.
constexpr double greatestPassPace = 4;

TokenCount memoryAt(const Work &work, EngineKey engine)
{
    for (std::size_t i = 0; i < work.engines.size() && i < work.memory.size(); ++i) {
        if (work.engines[i] == engine)
            return work.memory[i];
    }
    return 0;
}

void addReceived(EngineLoad &load, const Work &work, const Demand &demand)
{
    ++load.received;
    if (work.pauseTarget <= demand.pauseTarget)
        ++load.shortWriters;
    if (work.pauseTarget > Milliseconds())
        load.streams.push_back({ static_cast<double>(work.pauseTarget.count()), work.weight });
}

} // namespace

EngineLoad loadOf(const Ledger &ledger, const fleet::EngineSpeed &speed, const Candidate &candidate,
                  const Demand &demand, Milliseconds now)
{
    EngineLoad load;
    load.candidate = &candidate;
    load.backlog = readingBacklog(ledger, candidate.key, now);
    TokenCount context = demand.promptTokens;
    const auto found = ledger.engines.find(candidate.key);
    if (found != ledger.engines.end()) {
        load.pace = found->second.pace;
        load.unknown = unknownRequests(found->second, now);
        for (const std::uint64_t id : found->second.works) {
            const Work &work = ledger.works.at(id);
            load.memory += memoryAt(work, candidate.key);
            if (work.engines.front() == candidate.key) {
                addReceived(load, work, demand);
                context += work.isWriting ? work.promptTokens : 0;
            } else if (!work.isWriting) {
                ++load.helped;
            }
            if (!work.isWriting) {
                load.pending.push_back({ work.weight,
                                         static_cast<double>(work.latencyTarget.count()),
                                         static_cast<double>((work.dueAt - now).count()) });
            }
        }
    }
    load.passMs =
        writingPassTime(speed, load.received + 1, context) * std::min(load.pace, greatestPassPace);
    return load;
}

void markLane(std::vector<EngineLoad> &loads, int size)
{
    std::vector<EngineLoad *> inOrder;
    for (EngineLoad &load : loads) {
        if (load.candidate->mayReceive && load.candidate->mayHelp)
            inOrder.push_back(&load);
    }
    std::sort(inOrder.begin(), inOrder.end(), [](const EngineLoad *a, const EngineLoad *b) {
        return a->candidate->key < b->candidate->key;
    });
    for (std::size_t i = 0; i < inOrder.size() && static_cast<int>(i) < size; ++i)
        inOrder[i]->isInLane = true;
}

} // namespace egretmount::placement
