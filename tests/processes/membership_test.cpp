#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>

#include <Poco/Exception.h>
#include <doctest/doctest.h>

#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

bool isLocated(const Fleet &fleet, int viewer, int subject)
{
    const std::string text = fleet.fetchText(fleet.entryAddress(viewer), "/v1/locate");
    return text.find("\"entry-" + std::to_string(subject) + "\"") != std::string::npos;
}

bool isLocatedByAll(const Fleet &fleet, int count, int subject, bool expected)
{
    for (int i = 0; i < count; ++i) {
        if (i != subject && isLocated(fleet, i, subject) != expected)
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("membership: a frozen instance leaves locate everywhere and comes back")
{
    FleetOptions options;
    options.instances = 8;
    Fleet fleet(options);
    fleet.waitReady();
    fleet.entry(3).signal(SIGSTOP);
    CHECK(waitUntil([&] { return isLocatedByAll(fleet, 8, 3, false); }, 6'000_ms));
    fleet.entry(3).signal(SIGCONT);
    CHECK(waitUntil([&] { return isLocatedByAll(fleet, 8, 3, true); }, 6'000_ms));
}

TEST_CASE("membership: an instance that wakes from a pause has the document soon")
{
    Fleet fleet({});
    fleet.waitReady();
    fleet.entry(1).signal(SIGSTOP);
    CHECK(fleet.publish(fleet.document(2), 1) == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    fleet.entry(1).signal(SIGCONT);
    const auto isInForce = [&] {
        return fleet.fetchText(fleet.entryAddress(1), "/health/ready").find("\"config_version\":2")
               != std::string::npos;
    };
    CHECK(waitUntil(isInForce, 4'000_ms));
}

TEST_CASE("membership: an instance with another fleet key is not a peer")
{
    Fleet fleet({});
    fleet.waitReady();
    fleet.entry(2).kill();
    const std::string settings =
        "[instance]\nid=entry-2\nzone=zone-c\nhttpAddress=" + fleet.entryAddress(2)
        + "\nrpcAddress=" + fleet.rpcAddress(2) + "\n[platform]\naddress=" + fleet.platformAddress()
        + "\n[peers]\nfleetKey=another-key\n";
    const std::string path = fleet.folder() + "/stranger.ini";
    std::ofstream(path) << settings;
    Process stranger("egretmount-entry", { "--settings=" + path }, fleet.folder() + "/stranger");
    std::this_thread::sleep_for(std::chrono::milliseconds(3'000));
    CHECK(stranger.isRunning());
    CHECK(isLocatedByAll(fleet, 2, 2, false));
}
