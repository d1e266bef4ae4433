#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include <egretmount/placement/admission.h>
#include <egretmount/placement/demand_rate.h>
#include <egretmount/placement/planner.h>

/// A model of engines and callers without network, for tests of placement under load. The engines
/// follow the published formula: steps, passes of a fixed number of steps, chunks, and the part
/// that came last is read first.
namespace egretmount::simulation {

struct RequestClass
{
    TokenCount meanPromptTokens = 0;
    double logStdDev = 0; ///< Of the logarithm.
    int events = 0;
    double latencyTargetMs = 0;
    double eventGapTargetMs = 0;
};

struct RequestResult
{
    std::size_t requestClass = 0;
    TokenCount promptTokens = 0;
    double arrivedAt = 0; ///< Milliseconds.
    double firstEventMs = -1; ///< Since the arrival; negative: none came.
    double longestEventGapMs = 0;
    bool isRefused = false;
    bool isComplete = false;
};

/// How a request is placed: the product's planner, or a simple rule to compare it with.
enum class Policy {
    Planner,
    LeastInFlight,
};

/// Requests of a kind in a second, at a time in milliseconds.
using Rates = std::function<double(std::size_t requestClass, double now)>;

/// Plays callers and engines. Same arguments, same result.
std::vector<RequestResult> simulate(const fleet::EngineSpeed &speed, int engines,
                         const std::vector<RequestClass> &classes, const Rates &rates, double lengthMs,
                         Policy policy, std::uint64_t seed);

/// Share of a kind's requests in a span that had their first event and all pauses in time.
double shareWithinTargets(const std::vector<RequestResult> &results, const std::vector<RequestClass> &classes,
                   std::size_t requestClass, double fromMs, double toMs);

/// Share of a kind's requests in a span that were answered wholly, in time or late.
double shareCompleted(const std::vector<RequestResult> &results, std::size_t requestClass, double fromMs, double toMs,
                   TokenCount minPromptTokens = 0);

/// The speed of an engine of the kind that the users run.
fleet::EngineSpeed typicalSpeed();

/// Short questions, middle reviews, long files.
std::vector<RequestClass> typicalClasses();

} // namespace egretmount::model
