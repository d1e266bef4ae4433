#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>
#include <vector>

#include <egretmount/limits/reachability.h>

using namespace egretmount;
using namespace egretmount::limits;
using namespace egretmount::literals;

namespace {

fleet::TargetTable tableOf(int zones, int targetsPerZone)
{
    fleet::TargetTable table;
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < targetsPerZone; ++i) {
            fleet::Target target;
            target.entry.id = TargetId("t" + std::to_string(zone) + '-' + std::to_string(i));
            target.entry.zone = ZoneId("z" + std::to_string(zone));
            table.targets[target.entry.id] = target;
        }
    }
    return table;
}

// Probes targets of which some do not accept connections, until it is known whether any does.
Reach probe(Reachability &reach, const fleet::TargetTable &table,
            const std::set<TargetId> &unreachable, std::uint64_t seed, Milliseconds &now)
{
    std::mt19937_64 random(seed);
    recordConnectFailed(reach, now);
    for (int round = 0; round < 10 && reachOf(reach) == Reach::Doubtful; ++round) {
        const std::size_t due = probesDue(reach, 0, now);
        const Milliseconds startedAt = now;
        now += 250_ms;
        for (const fleet::TargetEntry &target : chooseProbes(reach, table, due, random())) {
            if (unreachable.count(target.id) == 0)
                recordConnected(reach, now);
            else
                recordProbeFailed(reach, target.id, table.targets.size(), startedAt, now);
        }
    }
    return reachOf(reach);
}

std::set<TargetId> allOf(const fleet::TargetTable &table)
{
    std::set<TargetId> ids;
    for (const auto &[id, target] : table.targets)
        ids.insert(id);
    return ids;
}

} // namespace

// Guards against instances that try one target after the other while they reach none.
TEST_CASE("an instance knows within half a second that it reaches no target")
{
    for (const int perZone : { 1, 3, 60 }) {
        const fleet::TargetTable table = tableOf(3, perZone);
        Reachability reach;
        Milliseconds now = 10'000_ms;
        CHECK(probe(reach, table, allOf(table), 1, now) == Reach::NotReached);
        CHECK(now <= 10'500_ms);
        // The end is noticed without a request.
        CHECK(probesDue(reach, 0, now + recoveryProbeInterval) == 1);
        CHECK(recordConnected(reach, now));
        CHECK(reachOf(reach) == Reach::Reached);
    }
    const fleet::TargetTable single = tableOf(1, 1);
    Reachability reach;
    Milliseconds now = 10'000_ms;
    CHECK(probe(reach, single, allOf(single), 1, now) == Reach::NotReached);
}

// Guards against an instance that leaves the directory because of the targets' faults.
TEST_CASE("dead targets, a dead zone and a dead service are not taken for a cut")
{
    const fleet::TargetTable table = tableOf(3, 5);
    std::set<TargetId> zone;
    std::set<TargetId> twoZones;
    for (const auto &[id, target] : table.targets) {
        if (target.entry.zone == ZoneId("z0"))
            zone.insert(id);
        if (!(target.entry.zone == ZoneId("z2")))
            twoZones.insert(id);
    }
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        for (const std::set<TargetId> &dead : { zone, twoZones }) {
            Reachability reach;
            Milliseconds now = 10'000_ms;
            CHECK(probe(reach, table, dead, seed, now) == Reach::Reached);
        }
    }
}

// Guards against an instance that counts as cut off because its probes go to the targets that its
// requests have just found dead.
TEST_CASE("targets that requests could not reach are probed after the others")
{
    const fleet::TargetTable table = tableOf(1, 9);
    const std::set<TargetId> dead = { TargetId("t0-0"), TargetId("t0-4"), TargetId("t0-8") };
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        CAPTURE(seed);
        Reachability reach;
        Milliseconds now = 10'000_ms;
        recordTargetOutcome(reach, TargetId("t0-4"), false, now);
        REQUIRE(probe(reach, table, dead, seed, now) == Reach::Reached);
    }
    // They are probed all the same if nothing else is left, and like others after a while.
    Reachability reach;
    recordTargetOutcome(reach, TargetId("t0-4"), false, 10'000_ms);
    CHECK(chooseProbes(reach, table, 9, 1).size() == 9);
    CHECK(chooseProbes(reach, table, 9, 1).back().id == TargetId("t0-4"));
    recordTargetOutcome(reach, TargetId("t0-1"), true, 10'000_ms + failureMemory);
    CHECK(reach.failedAt.empty());
}

TEST_CASE("silence is probed only if requests wait, and once a second")
{
    Reachability reach;
    recordBytes(reach, 1'000_ms);
    CHECK(probesDue(reach, 0, 10'000_ms) == 0); // nobody waits
    recordRequestSent(reach, 10'000_ms);
    CHECK(probesDue(reach, 0, 10'600_ms) == 0); // a target may take so long
    CHECK(probesDue(reach, 0, 10'700_ms) == 1);
    reach.probedAt = 10'700_ms;
    CHECK(probesDue(reach, 0, 11'600_ms) == 0);
    CHECK(probesDue(reach, 0, 11'700_ms) == 1);
    recordBytes(reach, 11'650_ms);
    CHECK(probesDue(reach, 0, 11'700_ms) == 0);
    recordRequestEnded(reach);
    CHECK(probesDue(reach, 0, 20'000_ms) == 0);
}

// Guards against bytes on kept connections that hide that no new one is accepted.
TEST_CASE("bytes on kept connections do not count as connections")
{
    const fleet::TargetTable table = tableOf(3, 2);
    Reachability reach;
    Milliseconds now = 10'000_ms;
    recordBytes(reach, now);
    CHECK(probe(reach, table, allOf(table), 1, now) == Reach::NotReached);
    recordBytes(reach, now);
    CHECK(reachOf(reach) == Reach::NotReached);
}

TEST_CASE("who is at fault is decided by another target, by the others' contacts, or by time")
{
    const fleet::TargetTable table = tableOf(3, 2);
    Reachability reach;
    Milliseconds now = 10'000_ms;
    // Another target accepts a connection.
    CHECK(faultOf(reach, 10'000_ms, 9'990_ms, std::nullopt, now) == Fault::Unknown);
    CHECK(faultOf(reach, 10'000_ms, 10'010_ms, std::nullopt, now) == Fault::Target);
    REQUIRE(probe(reach, table, allOf(table), 1, now) == Reach::NotReached);
    CHECK(faultOf(reach, 10'000_ms, 0_ms, std::nullopt, now) == Fault::Unknown);
    // Contacts of others before this instance reached none say nothing.
    CHECK(faultOf(reach, 10'000_ms, 0_ms, now, now) == Fault::Unknown);
    CHECK(faultOf(reach, 10'000_ms, 0_ms, now + 200_ms, now + 250_ms) == Fault::Instance);
    CHECK(faultOf(reach, 10'000_ms, 0_ms, now, now + faultDecisionTime) == Fault::Target);
}
