#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <thread>

#include <Poco/Exception.h>
#include <doctest/doctest.h>

#include <egretmount/core/digest.h>

#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr Milliseconds inForceBound = 4'000_ms;

std::int64_t numberAfter(const std::string &text, const std::string &key)
{
    const std::size_t at = text.find(key);
    return at == std::string::npos ? 0 : std::atoll(text.c_str() + at + key.size());
}

std::int64_t versionAt(const Fleet &fleet, int index)
{
    try {
        return numberAfter(fleet.fetchText(fleet.entryAddress(index), "/health/ready"),
                           "\"config_version\":");
    } catch (const Poco::Exception &) {
        return -1;
    }
}

std::int64_t readsAt(const Fleet &fleet)
{
    return numberAfter(fleet.fetchText(fleet.platformAddress(), "/v1/calls"), "\"reads\":");
}

/// Time until all of the first `count` instances have a version in force.
Milliseconds timeUntilInForce(const Fleet &fleet, int count, std::int64_t version)
{
    const Milliseconds start = monotonicNow();
    const auto isInForce = [&] {
        for (int i = 0; i < count; ++i) {
            if (versionAt(fleet, i) < version)
                return false;
        }
        return true;
    };
    REQUIRE(waitUntil(isInForce, inForceBound));
    return monotonicNow() - start;
}

/// The last number behind a key in the logs of the first `count` instances.
std::int64_t lastNumberInLogs(const Fleet &fleet, int count, const std::string &key)
{
    std::int64_t last = 0;
    for (int i = 0; i < count; ++i) {
        std::ifstream stream(fleet.folder() + "/entry-" + std::to_string(i) + ".log");
        const std::string text { std::istreambuf_iterator<char>(stream), {} };
        const std::size_t at = text.rfind(key);
        if (at != std::string::npos)
            last = std::atoll(text.c_str() + at + key.size());
    }
    return last;
}

void sleepFor(Milliseconds duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration.count()));
}

} // namespace

TEST_CASE("config: a published document is in force on all 8 instances within 4 s")
{
    FleetOptions options;
    options.instances = 8;
    Fleet fleet(options);
    fleet.waitReady();
    Milliseconds longest;
    for (std::uint64_t version = 2; version <= 21; ++version) {
        REQUIRE(fleet.publish(fleet.document(version), version - 1) == 200);
        longest = std::max(longest, timeUntilInForce(fleet, 8, static_cast<std::int64_t>(version)));
    }
    CHECK(longest <= inForceBound);
    const std::int64_t reads = readsAt(fleet);
    const Milliseconds start = monotonicNow();
    sleepFor(4'000_ms);
    const double perSecond = static_cast<double>(readsAt(fleet) - reads) * 1000.0
                             / static_cast<double>((monotonicNow() - start).count());
    MESSAGE("publications=20 longest-ms=" << longest.count() << " reads-per-s=" << perSecond);
    CHECK(perSecond < 25.0);
}

TEST_CASE("config: a document of 7,500 teams is in force on all 8 instances within 4 s")
{
    FleetOptions options;
    options.instances = 8;
    Fleet fleet(options);
    fleet.waitReady();
    std::string teams;
    for (int i = 0; i < 7'500; ++i) {
        teams += "[team.team-" + std::to_string(i) + "]\npriority=normal\nweight=1\ntokenHash="
                 + toHex(sha256(std::to_string(i))) + "\n";
    }
    REQUIRE(fleet.publish(fleet.document(2) + teams, 1) == 200);
    const Milliseconds whole = timeUntilInForce(fleet, 8, 2);
    const std::string from = "weight=1\ntokenHash=" + toHex(sha256("3000"));
    teams.replace(teams.find(from), 8, "weight=2");
    REQUIRE(fleet.publish(fleet.document(3) + teams, 2) == 200);
    const Milliseconds change = timeUntilInForce(fleet, 8, 3);
    MESSAGE("bytes=" << teams.size() << " all-new-ms=" << whole.count()
                     << " one-team-ms=" << change.count()
                     << " one-team-words=" << lastNumberInLogs(fleet, 8, "words="));
}

TEST_CASE("config: an invalid document is not adopted and is not read over and over")
{
    Fleet fleet({});
    fleet.waitReady();
    const std::int64_t reads = readsAt(fleet);
    REQUIRE(fleet.publish("[fleet]\nversion=2\nnonsense=1\n", 1) == 200);
    sleepFor(2'000_ms);
    CHECK(readsAt(fleet) - reads < 40);
    CHECK(versionAt(fleet, 0) == 1);
    REQUIRE(fleet.publish(fleet.document(2), 2) == 200);
    timeUntilInForce(fleet, 3, 2);
}

TEST_CASE("config: a fresh instance does not start in the past of a stale platform")
{
    Fleet fleet({});
    fleet.waitReady();
    REQUIRE(fleet.publish(fleet.document(2), 1) == 200);
    timeUntilInForce(fleet, 3, 2);
    fleet.entry(0).kill();
    fleet.platform().kill();
    fleet.startPlatform(); // from its file, at version 1
    fleet.startEntry(0);
    std::int64_t first = 0;
    REQUIRE(waitUntil(
        [&] {
            first = versionAt(fleet, 0);
            return first > 0;
        },
        10'000_ms));
    CHECK(first == 2);
    CHECK(versionAt(fleet, 1) == 2);
}

TEST_CASE("config: a fresh instance without any answering peer becomes ready")
{
    Fleet fleet({});
    fleet.waitReady();
    for (int i = 0; i < 3; ++i)
        fleet.entry(i).kill();
    fleet.startEntry(0);
    CHECK(waitUntil([&] { return versionAt(fleet, 0) == 1; }, 5'000_ms));
}

TEST_CASE("config: an outage of the platform changes nothing, and what follows it is taken")
{
    Fleet fleet({});
    fleet.waitReady();
    fleet.setPlatformFault("down");
    sleepFor(1'000_ms);
    CHECK(load::complete(fleet.request(0, "in-outage")).isComplete);
    CHECK(versionAt(fleet, 0) == 1);
    CHECK(fleet.publish(fleet.document(2), 1) == 200);
    CHECK(fleet.publish(fleet.document(2), 1) == 409); // the second of two operators
    fleet.setPlatformFault("none");
    timeUntilInForce(fleet, 3, 2);
}

TEST_CASE("config: an instance that waits at the platform stops promptly")
{
    FleetOptions options;
    options.entrySettings = "[limits]\nlocateMaxAgeMs=1\ndrainSlackMs=0\n";
    Fleet fleet(options);
    fleet.waitReady();
    const Milliseconds start = monotonicNow();
    fleet.entry(0).signal(15);
    CHECK(fleet.entry(0).wait() == 0);
    CHECK(monotonicNow() - start < 1'000_ms);
}
