#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>
#include <egretmount/core/names.h>
#include <egretmount/limits/team_share.h>
#include <egretmount/placement/load_tracker.h>

namespace egretmount::placement {

/// @brief Most ranks by which a request counts as less urgent than the most urgent ones.
///
/// Each rank halves the weight. A request therefore keeps at least a quarter of the weight, which
/// is the least that any team and any kind of request may get.
constexpr int maxRankDistance = 2;

/// @brief Requests that compete with a request: those of its service and size class in flight.
struct Competition
{
    limits::TeamLoad teams; ///< Requests in flight of each team.
    std::vector<const InFlightRequest *> requests;
};

/// @brief Collects the requests in flight that compete with short or with long prompts.
/// @param engines Engines of the service, sorted. Requests to others do not compete.
/// @complexity O(n log m) in the requests in flight and the engines.
Competition competitionFor(const LoadTracker &tracker, const std::vector<EngineKey> &engines,
                           bool isShort);

/// @brief Returns the rank of a request, one higher (less urgent) if its team is over its share.
/// @param usesTeams False while too few requests of others are known to compare the teams.
int effectiveRank(const Competition &competition, int rank, limits::TeamKey team, bool usesTeams);

/// @brief Returns how much less urgent a rank is than the most urgent one that competes, from zero
///        to `maxRankDistance`. Ranks of fewer than 5 % of the requests of known rank do not count.
int rankDistance(const Competition &competition, int effectiveRank);

/// @brief Draws the distance that a request is treated by: each rank is skipped with a probability
///        of one half, so a request at distance n counts as most urgent with 1 / 2^n.
///
/// The weight of a rank thereby halves per rank and never gets to zero, and all decisions on one
/// request agree, at any instance and at each of its tries.
/// @param randomBits Bits that belong to the request and stay the same.
int drawnDistance(int distance, std::uint64_t randomBits);

/// @brief Returns the share of the competing requests that are more urgent than a request. Those of
///        its own team are not if their rank is the same.
/// @param rank Rank of the request without regard to its team's share.
double moreUrgentShare(const Competition &competition, int rank, int effectiveRank,
                       limits::TeamKey team);

/// @brief Returns the weight of a long prompt relative to the prompts that it competes with: half
///        for each rank that it is less urgent than their median, double for each that it is more
///        urgent, and at most a factor of four.
///
/// The median is taken over the prefill time, because that is what prompts compete for. Prompts of
/// unknown rank count as the median.
double relativeWeight(const Competition &competition, int effectiveRank);

/// @brief Requests that are deferred at this instance, by their drawn distance.
using DeferredCounts = std::array<int, maxRankDistance + 1>;

/// @brief The number of deferred requests that another instance has stated.
struct DeferredStatement
{
    int requests = 0;
    Milliseconds statedAt;
};

/// @brief How long a statement counts. A deferral of a request with a timeout of two seconds, the
///        shortest there is, lasts as long.
constexpr Milliseconds deferredStatementLifetime = Milliseconds(1'000);

/// @brief Returns the number of requests that the other members of a cell have stated as deferred.
/// @param statements By host; an instance without one counts as zero.
double statedDeferred(const std::map<std::string, DeferredStatement> &statements,
                      const std::vector<InstanceId> &members, Milliseconds now);

/// @brief Estimates the number of deferred requests at all instances that come before a request.
///
/// Callers choose instances at random, so each cell defers about as many as the own one. Peers
/// state one number for all distances; all of them count, so no urgent one is left out.
/// @param own Without the request itself.
/// @param distance Greatest drawn distance of the own requests that count.
/// @param stated By the peers of the own cell, for the service of the request.
double estimateDeferred(const DeferredCounts &own, int distance, double stated, int cells);

/// @brief Load of the slots of a service's engines, at all instances together.
struct SlotLoad
{
    double slots = 0;
    double used = 0; ///< Requests that hold a slot; at most `slots`.
    double waiting = 0; ///< Requests that wait for a slot at an engine.
    double releasesPerSecond = 0; ///< Slots that become free at full load.
    double arrivalsPerSecond = 0; ///< Short requests.
    double moreUrgentShare = 0; ///< See the function of this name.
    double deferredAhead = 0; ///< Deferred requests that are at least as urgent.
};

/// @brief Returns whether less than half of the slots are in use and nothing waits at an engine, so
///        that nothing is deferred.
bool isUnderused(const SlotLoad &load);

/// @brief Engines of a service, and what the estimate of their used slots depends on.
struct SlotQuestion
{
    std::vector<EngineKey> engines;
    double slotsPerEngine = 0;
    int cells = 1; ///< Requests that only the own cell knows count once for each cell.
    double endShare = 0; ///< See `unannouncedEndShare`.
};

/// @brief Requests that hold slots, and those that wait for one.
struct SlotUse
{
    double used = 0;
    double waiting = 0;
};

/// @brief Estimates the requests that hold a slot of one engine or wait for one there.
double requestsAtPrimary(const LoadTracker &tracker, EngineKey engine, double endShare,
                         Milliseconds now);

/// @brief Estimates how many slots of the given engines are in use.
///
/// Requests beyond the slots of their engine wait there and leave the free slots of other engines
/// free.
SlotUse usedSlots(const LoadTracker &tracker, const SlotQuestion &question, Milliseconds now);

/// @brief A short request to decide on.
struct ShortRequest
{
    Milliseconds latencyTarget; ///< From the arrival to the first event.
    Milliseconds clientTimeout; ///< The caller leaves if no event has come by then.
    Milliseconds waited; ///< Since the arrival.
    Milliseconds timeLeft; ///< Until the deadline.
    double firstEventMs = 0; ///< Planned, from now; infinite if no engine can take the request.
    int distance = 0; ///< See `drawnDistance`.
    std::uint64_t randomBits = 0; ///< Bits that belong to the request.
    bool isSlotFree = false; ///< The planned engine has a free slot.
    bool isDeferred = false; ///< It was deferred before.
};

/// @brief What to do with a short request.
enum class ShortOutcome {
    Place, ///< By the present plan.
    Defer, ///< Decide again after the delay.
    Refuse, ///< The caller should return after the delay.
};

/// @brief Decision on a short request.
struct ShortDecision
{
    ShortOutcome outcome = ShortOutcome::Place;
    Milliseconds delay; ///< Until the next decision, or until the caller should return.
    double waitMs = 0; ///< Expected time until the deferred requests ahead have a slot.
};

/// @brief Returns the longest deferral of a request: half of the time until its caller leaves. The
///        other half is left for a wait at the engine and the prefill.
Milliseconds maxDeferral(const ShortRequest &request);

/// @brief Returns the delay after which a deferred request is decided on again, 20 to 50 ms; it
///        differs by request, so that instances do not act at the same moment.
Milliseconds deferralPoll(const ShortRequest &request);

/// @brief Returns whether a deferred request stays deferred whatever the planner may find.
///
/// Spares the planner while no slot is free: a deferred request is decided on many times. Without
/// any engine (no slots) it does not remain, so that it is refused at once.
bool remainsDeferred(const ShortRequest &request, const SlotLoad &load);

/// @brief Decides whether a short request is placed, deferred or refused.
///
/// Addresses more short requests than slots. Placing each of them at once makes all of them wait
/// and be late. Requests that can be in time therefore go first, and one that would be late waits
/// for a slot that they leave free, at most until `maxDeferral`. Less urgent requests leave the
/// last free slots to more urgent ones. A request is refused at its arrival only if the deferred
/// ones ahead of it need longer than its deferral may last, and never while less than half of the
/// slots are in use.
ShortDecision decideShort(const ShortRequest &request, const SlotLoad &load);

/// @brief Returns when the caller of a refused request should return.
///
/// The delays spread over the time in which the load drains, less urgent requests in the later part
/// of it, and are at most a third of the caller's time left, as callers honour no more.
Milliseconds returnDelay(const ShortRequest &request, const SlotLoad &load);

} // namespace egretmount::placement

template<>
struct egretmount::NameTable<egretmount::placement::ShortOutcome>
{
    using ShortOutcome = egretmount::placement::ShortOutcome;
    static constexpr std::array<NameEntry<ShortOutcome>, 3> entries { {
        { ShortOutcome::Place, "place" },
        { ShortOutcome::Defer, "defer" },
        { ShortOutcome::Refuse, "refuse" },
    } };
};
