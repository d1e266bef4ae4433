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
namespace egretmount::model {

struct Kind
{
    TokenCount meanPrompt = 0;
    double spread = 0; ///< Of the logarithm.
    int events = 0;
    double latencyTargetMs = 0;
    double pauseTargetMs = 0;
};

struct Served
{
    std::size_t kind = 0;
    TokenCount promptTokens = 0;
    double arrivedAt = 0; ///< Milliseconds.
    double firstEventMs = -1; ///< Since the arrival; negative: none came.
    double longestPauseMs = 0;
    bool isRefused = false;
    bool isComplete = false;
};

/// How a request is placed: the product's planner, or a simple rule to compare it with.
enum class Policy {
    Planner,
    LeastInHand,
};

/// Requests of a kind in a second, at a time in milliseconds.
using Rates = std::function<double(std::size_t kind, double now)>;

/// Plays callers and engines. Same arguments, same result.
std::vector<Served> play(const fleet::EngineSpeed &speed, int engines,
                         const std::vector<Kind> &kinds, const Rates &rates, double lengthMs,
                         Policy policy, std::uint64_t seed);

/// Share of a kind's requests in a span that had their first event and all pauses in time.
double shareInTime(const std::vector<Served> &served, const std::vector<Kind> &kinds,
                   std::size_t kind, double fromMs, double toMs);

/// Share of a kind's requests in a span that were answered wholly, in time or late.
double shareServed(const std::vector<Served> &served, std::size_t kind, double fromMs, double toMs,
                   TokenCount least = 0);

/// The speed of an engine of the kind that the users run.
fleet::EngineSpeed usualSpeed();

/// Short questions, middle reviews, long files.
std::vector<Kind> usualKinds();

} // namespace egretmount::model
