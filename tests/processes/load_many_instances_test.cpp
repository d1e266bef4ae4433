#include <chrono>
#include <thread>

#include <doctest/doctest.h>

#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

// With more instances than an instance has heartbeats with, some peers are listed and never heard.
TEST_CASE("load of many instances with cold targets leaves every instance alive")
{
    FleetOptions options;
    options.instances = 12;
    options.engines = 6;
    options.engineFlags = { "--engine_warmAfterTokens=1000000" };
    Fleet fleet(options);
    fleet.waitReady();
    std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
    for (int i = 0; i < options.instances; ++i) {
        INFO("instance " << i);
        CHECK(fleet.fetchText(fleet.entryAddress(i), "/health/live").find("true")
              != std::string::npos);
    }
}
