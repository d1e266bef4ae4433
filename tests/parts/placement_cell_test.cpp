#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <egretmount/placement/cell.h>
#include <egretmount/placement/planner.h>

#include "placement_simulation.h"

using namespace egretmount;
using namespace egretmount::literals;
using placement::Cell;

namespace {

std::vector<InstanceId> fleetOf(std::size_t count)
{
    std::vector<InstanceId> instances;
    instances.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        instances.emplace_back("10." + std::to_string(1 + i % 5) + ".0." + std::to_string(i / 5));
    std::sort(instances.begin(), instances.end());
    return instances;
}

placement::Demand shortDemand()
{
    placement::Demand demand;
    demand.promptTokens = 5'000;
    demand.maxOutputTokens = 1'300;
    demand.weight = placement::weightOf(simulation::typicalSpeed(), demand.promptTokens);
    demand.latencyTarget = 300_ms;
    demand.eventGapTarget = 250_ms;
    demand.clientTimeout = 2'000_ms;
    return demand;
}

// Places short requests that arrive evenly at all cells, each with the knowledge of its own cell.
// Returns the number of requests by engine.
std::map<placement::EngineKey, int> placeShortWave(int cells, int engines, int requestsPerCell,
                                                   int &outsideCell)
{
    std::vector<placement::Candidate> candidates(static_cast<std::size_t>(engines));
    for (std::size_t i = 0; i < candidates.size(); ++i)
        candidates[i].key = i + 1;
    std::vector<placement::LoadTracker> trackers(static_cast<std::size_t>(cells));
    std::map<placement::EngineKey, int> byEngine;
    std::uint64_t id = 0;
    for (int round = 0; round < requestsPerCell; ++round) {
        for (int cell = 0; cell < cells; ++cell) {
            placement::LoadTracker &tracker = trackers[static_cast<std::size_t>(cell)];
            const placement::DemandForecast forecast { static_cast<double>(cells * requestsPerCell),
                                                       cells, cell };
            const Milliseconds now = Milliseconds(50) * round;
            const std::optional<placement::Plan> plan = placement::planPlacement(
                tracker, simulation::typicalSpeed(), candidates, shortDemand(), forecast, now);
            REQUIRE(plan);
            outsideCell += plan->isWithinCell ? 0 : 1;
            ++byEngine[plan->engines.front()];
            placement::InFlightRequest request;
            request.id = ++id;
            request.engines = plan->engines;
            request.memory = plan->memory;
            request.promptTokens = 5'000;
            request.shardPrefillMs = plan->shardPrefillMs;
            request.eventGapTarget = 250_ms;
            request.placedAt = now;
            request.expiresAt = now + 10'000_ms;
            request.isShort = true;
            placement::addInFlight(tracker, request);
            placement::markDecoding(tracker, id, now);
        }
    }
    return byEngine;
}

} // namespace

TEST_CASE("small fleets are one cell; the number of cells is a power of two")
{
    CHECK(placement::cellCount(8, 23) == 1);
    CHECK(placement::cellCount(30, 23) == 1);
    CHECK(placement::cellCount(75, 54) == 2);
    CHECK(placement::cellCount(295, 195) == 8);
    CHECK(placement::cellCount(295, 20) == 1); // too few engines to divide
    CHECK(placement::cellCount(400, 600) == 16);
    CHECK(placement::cellCount(0, 0) == 1);
}

TEST_CASE("each instance is in one cell, and cells differ by at most one instance")
{
    const std::vector<InstanceId> living = fleetOf(295);
    std::map<int, std::vector<InstanceId>> members;
    for (const InstanceId &instance : living) {
        const Cell cell = placement::cellOf(instance, living, 195);
        CHECK(std::binary_search(cell.members.begin(), cell.members.end(), instance));
        const auto [position, isNew] = members.emplace(cell.index, cell.members);
        CHECK((isNew || position->second == cell.members));
    }
    REQUIRE(members.size() == 8);
    std::size_t sum = 0;
    for (const auto &[index, cell] : members) {
        CHECK((cell.size() == 36 || cell.size() == 37));
        sum += cell.size();
    }
    CHECK(sum == living.size());
}

TEST_CASE("the loss of one of 295 instances moves at most one between each two cells")
{
    const std::vector<InstanceId> before = fleetOf(295);
    for (std::size_t lost = 0; lost < before.size(); lost += 13) {
        std::vector<InstanceId> after = before;
        after.erase(after.begin() + static_cast<std::ptrdiff_t>(lost));
        const auto moved = std::count_if(after.begin(), after.end(), [&](const InstanceId &id) {
            return placement::cellOf(id, before, 195).index
                   != placement::cellOf(id, after, 195).index;
        });
        CHECK(moved <= 7);
    }
}

TEST_CASE("the instances that are told of a short request stay below a bound from 100 to 1,000")
{
    for (const std::size_t instances : { 100U, 300U, 400U, 1'000U }) {
        CAPTURE(instances);
        const std::vector<InstanceId> living = fleetOf(instances);
        const Cell cell = placement::cellOf(living.front(), living, instances * 2 / 3);
        CHECK(cell.members.size() <= 2 * placement::minInstancesPerCell);
        CHECK(cell.members.size() >= placement::minInstancesPerCell);
    }
}

TEST_CASE("in a wave of short requests, cells that know only their own fill no engine's slots")
{
    int outsideCell = 0;
    const std::map<placement::EngineKey, int> byEngine = placeShortWave(8, 200, 150, outsideCell);
    CHECK(outsideCell == 0);
    for (const auto &[engine, requests] : byEngine)
        CHECK(requests <= simulation::typicalSpeed().slots);
}
