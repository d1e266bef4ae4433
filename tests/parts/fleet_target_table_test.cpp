#include <doctest/doctest.h>

#include <egretmount/fleet/target_table.h>

using namespace egretmount;
using namespace egretmount::literals;

namespace {

fleet::TargetEntry entry(const std::string &id, std::int64_t startedAt = 1)
{
    fleet::TargetEntry made;
    made.id = TargetId(id);
    made.service = ServiceId("s");
    made.address = "10.0.0.1:80";
    made.zone = ZoneId("z1");
    made.startedAt = startedAt;
    return made;
}

} // namespace

TEST_CASE("an entry with a different start stamp is a restart of the target")
{
    fleet::TargetTable table;
    CHECK(fleet::applyEntry(table, entry("a"), 0_ms));
    CHECK_FALSE(fleet::applyEntry(table, entry("a"), 10_ms));
    CHECK(fleet::applyEntry(table, entry("a", 2), 20_ms));
}

TEST_CASE("a target is cold for the time that its entry reports, counted from the registry read")
{
    fleet::TargetTable table;
    fleet::TargetEntry cold = entry("a");
    cold.coldLeft = 300_ms;
    fleet::applyEntry(table, cold, 100_ms);
    CHECK(fleet::isCold(table.targets.at(TargetId("a")), 399_ms));
    CHECK_FALSE(fleet::isCold(table.targets.at(TargetId("a")), 400_ms));
}

TEST_CASE("draining targets and those in an evacuated availability zone are not usable")
{
    fleet::TargetTable table;
    fleet::applyEntry(table, entry("a"), 0_ms);
    const fleet::Target &target = table.targets.at(TargetId("a"));
    CHECK(fleet::isUsable(table, target));
    table.evacuated.insert(ZoneId("z1"));
    CHECK_FALSE(fleet::isUsable(table, target));
    table.evacuated.clear();
    fleet::TargetEntry draining = entry("a");
    draining.isDraining = true;
    fleet::applyEntry(table, draining, 5_ms);
    CHECK_FALSE(fleet::isUsable(table, target));
}

TEST_CASE("a draining target is removed at once with its entry")
{
    fleet::TargetTable table;
    fleet::TargetEntry draining = entry("a");
    draining.isDraining = true;
    fleet::applyEntry(table, draining, 0_ms);
    CHECK(fleet::applyRemoval(table, TargetId("a"), 10_ms));
    CHECK(table.targets.empty());
}

TEST_CASE("a target that leaves unannounced is removed before it stops serving")
{
    fleet::TargetTable table;
    fleet::applyEntry(table, entry("a"), 0_ms);
    CHECK_FALSE(fleet::applyRemoval(table, TargetId("a"), 1'000_ms));
    CHECK(fleet::removeUnlisted(table, 1'000_ms + fleet::unlistedGrace - 1_ms).empty());
    CHECK(fleet::removeUnlisted(table, 1'000_ms + fleet::unlistedGrace).size() == 1);
    // The target serves for two more seconds, and the removal takes a part of them to arrive.
    CHECK(fleet::unlistedGrace < 2'000_ms);
}

TEST_CASE("targets whose leases expire during a registry outage stay until they can register again")
{
    fleet::TargetTable table;
    fleet::applyEntry(table, entry("a"), 0_ms);
    fleet::applyEntry(table, entry("b"), 0_ms);
    fleet::markOutageEnded(table, 5'000_ms);
    fleet::applyRemoval(table, TargetId("a"), 5'000_ms);
    fleet::applyRemoval(table, TargetId("b"), 5'000_ms);
    CHECK(fleet::removeUnlisted(table, 7'000_ms).empty());
    fleet::applyEntry(table, entry("a"), 7'000_ms); // a is alive and registers again
    const std::vector<TargetId> removed =
        fleet::removeUnlisted(table, 5'000_ms + fleet::outageGrace);
    REQUIRE(removed.size() == 1);
    CHECK(removed[0].value == "b");
    CHECK_FALSE(table.targets.at(TargetId("a")).isUnlisted);
}

TEST_CASE("a listing removes missing targets if they were draining and unlists the others")
{
    fleet::TargetTable table;
    fleet::TargetEntry draining = entry("a");
    draining.isDraining = true;
    fleet::applyEntry(table, draining, 0_ms);
    fleet::applyEntry(table, entry("b"), 0_ms);
    const std::vector<TargetId> gone = fleet::applyListing(table, { entry("c") }, 10_ms);
    REQUIRE(gone.size() == 1);
    CHECK(gone[0].value == "a");
    CHECK(table.targets.at(TargetId("b")).isUnlisted);
    CHECK(table.targets.count(TargetId("c")) == 1);
}

TEST_CASE("many targets that disappear at once look like expired leases, a single one does not")
{
    fleet::TargetTable table;
    for (const char *id : { "a", "b", "c", "d" })
        fleet::applyEntry(table, entry(id), 0_ms);
    CHECK_FALSE(fleet::looksLikeLeaseExpiry(table, { TargetId("a") }));
    CHECK(fleet::looksLikeLeaseExpiry(table, { TargetId("a"), TargetId("b") }));
    CHECK_FALSE(fleet::looksLikeLeaseExpiry(table, { TargetId("x"), TargetId("y") }));
    fleet::TargetEntry draining = entry("a");
    draining.isDraining = true;
    fleet::applyEntry(table, draining, 0_ms);
    CHECK_FALSE(fleet::looksLikeLeaseExpiry(table, { TargetId("a"), TargetId("b") }));
}
