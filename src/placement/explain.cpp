#include <egretmount/placement/explain.h>

#include <algorithm>
#include <numeric>

#include <egretmount/placement/slot_wait.h>

#include "engine_load.h"

namespace egretmount::placement {

namespace {

// Factor that makes a limit irrelevant when the planner is asked whether it is the obstacle.
constexpr int relaxation = 1'000;

// The arguments of `planPlacement`, and how often it may still be called.
struct Question
{
    const LoadTracker &tracker;
    fleet::EngineSpeed speed;
    std::vector<Candidate> candidates;
    const Demand &demand;
    DemandForecast forecast;
    Milliseconds now;
    int callsLeft = 0;
};

std::optional<Plan> answer(Question &question)
{
    --question.callsLeft;
    return planPlacement(question.tracker, question.speed, question.candidates, question.demand,
                         question.forecast, question.now);
}

// Finds the limit without which the planner would choose the only candidate that is not ruled out.
Obstacle findObstacle(Question &question)
{
    const fleet::EngineSpeed speed = question.speed;
    const DemandForecast forecast = question.forecast;
    Obstacle obstacle = Obstacle::NoCombination;
    question.speed.memoryTokens *= relaxation;
    // The short pool keeps its size, because the forecast grows as the slots do.
    question.speed.slots *= relaxation;
    question.forecast.shortRequests *= relaxation;
    if (answer(question)) {
        question.speed.slots = speed.slots;
        question.forecast = forecast;
        obstacle = answer(question) ? Obstacle::NoMemory : Obstacle::NoSlot;
    }
    question.speed = speed;
    question.forecast = forecast;
    return obstacle;
}

// Sets the plans of the candidates, and the obstacles of those without one, in the given order
// until no calls are left. All candidates are ruled out before and after.
void examine(const std::vector<std::size_t> &order, Question &question,
             std::vector<CandidateExplanation> &explanations)
{
    constexpr int callsForObstacle = 2;
    // Without a part of the calls kept for obstacles, the answer for many full engines would have
    // none.
    const int kept = std::max(question.callsLeft / 4, callsForObstacle);
    std::vector<std::size_t> withoutPlan;
    for (const std::size_t i : order) {
        Candidate &candidate = question.candidates[i];
        CandidateExplanation &explanation = explanations[i];
        explanation.obstacle = Obstacle::NotPrimary;
        if (!candidate.canBePrimary)
            continue;
        explanation.obstacle = Obstacle::NotExamined;
        if (question.callsLeft <= kept)
            continue;
        candidate.isRuledOut = false;
        explanation.plan = answer(question);
        candidate.isRuledOut = true;
        if (explanation.plan)
            explanation.obstacle = Obstacle::None;
        else
            withoutPlan.push_back(i);
    }
    for (const std::size_t i : withoutPlan) {
        if (question.callsLeft < callsForObstacle)
            break;
        question.candidates[i].isRuledOut = false;
        explanations[i].obstacle = findObstacle(question);
        question.candidates[i].isRuledOut = true;
    }
}

// Returns the order in which the candidates are examined, as indices.
std::vector<std::size_t> examinationOrder(const PlacementExplanation &explanation)
{
    const auto precedes = [&](std::size_t a, std::size_t b) {
        const auto rank = [&](const CandidateExplanation &candidate) {
            const bool isChosen =
                explanation.chosen && explanation.chosen->engines.front() == candidate.key;
            return isChosen ? -1 : candidate.trackedRequests + candidate.untrackedRequests;
        };
        return rank(explanation.candidates[a]) < rank(explanation.candidates[b]);
    };
    std::vector<std::size_t> order(explanation.candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), precedes);
    return order;
}

CandidateExplanation describe(const Candidate &candidate, const Question &question)
{
    const EngineLoad load = loadOf(question.tracker, question.speed, candidate, question.demand,
                                   question.forecast.policy, question.now);
    CandidateExplanation explanation;
    explanation.key = candidate.key;
    explanation.trackedRequests = load.primaryRequests;
    explanation.helperShards = load.helperShards;
    explanation.untrackedRequests = load.untracked;
    explanation.backlogMs = load.backlogMs;
    explanation.slotWaitMs =
        expectedSlotWait(question.speed, requestsAt(load), load.eventIntervalMs);
    explanation.prefillSlowdown = load.prefillSlowdown;
    explanation.penalty = candidate.penalty;
    const auto state = question.tracker.engines.find(candidate.key);
    if (state != question.tracker.engines.end() && state->second.reportedAt > Milliseconds())
        explanation.reportAge = question.now - state->second.reportedAt;
    return explanation;
}

} // namespace

PlacementExplanation explainPlacement(const LoadTracker &tracker, const fleet::EngineSpeed &speed,
                                      const std::vector<Candidate> &candidates,
                                      const Demand &demand, const DemandForecast &forecast,
                                      Milliseconds now)
{
    const int count = std::max(static_cast<int>(candidates.size()), 1);
    Question question { tracker, speed, candidates, demand, forecast, now };
    question.callsLeft = std::max(maxPlannedCandidates / count, minPlannerCalls);
    PlacementExplanation explanation;
    explanation.chosen = answer(question);
    if (explanation.chosen) {
        for (Candidate &candidate : question.candidates)
            candidate.isRuledOut = candidate.key == explanation.chosen->engines.front();
        explanation.runnerUp = answer(question);
    }
    explanation.candidates.reserve(candidates.size());
    for (const Candidate &candidate : candidates)
        explanation.candidates.push_back(describe(candidate, question));
    for (Candidate &candidate : question.candidates)
        candidate.isRuledOut = true;
    examine(examinationOrder(explanation), question, explanation.candidates);
    return explanation;
}

double busiestOverMean(const LoadTracker &tracker, const std::vector<EngineKey> &engines)
{
    std::size_t busiest = 0;
    std::size_t total = 0;
    for (const EngineKey engine : engines) {
        const auto found = tracker.engines.find(engine);
        std::size_t requests = 0;
        if (found != tracker.engines.end()) {
            const std::vector<std::uint64_t> &ids = found->second.requestIds;
            requests = static_cast<std::size_t>(
                std::count_if(ids.begin(), ids.end(), [&](std::uint64_t id) {
                    const InFlightRequest &request = tracker.inFlight.at(id);
                    return request.engines.front() == engine || !request.isDecoding;
                }));
        }
        busiest = std::max(busiest, requests);
        total += requests;
    }
    if (total == 0)
        return 0;
    return static_cast<double>(busiest * engines.size()) / static_cast<double>(total);
}

} // namespace egretmount::placement
