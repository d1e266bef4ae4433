#include <csignal>

#include <Poco/Exception.h>
#include <doctest/doctest.h>

#include "http/engine_orders.h"
#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr Milliseconds orderBound = 6'000_ms;
constexpr const char *senderSettings = "senderToken=fleet-orders\n"; // follows [peers]

FleetOptions orderOptions(bool checksFence)
{
    FleetOptions options;
    options.engines = 1;
    options.entrySettings = senderSettings;
    options.serviceKeys = "modelVersion=1\n";
    options.engineFlags = { "--engine_senderToken=fleet-orders" };
    if (checksFence) {
        options.engineFlags.push_back("--engine_checksFence=yes");
        options.targetKeys += "checksFence=yes\nchecksSender=yes\n";
    }
    return options;
}

std::string withModelVersion(const Fleet &fleet, std::uint64_t version)
{
    std::string text = fleet.document(version);
    const std::string from = "modelVersion=1\n";
    return text.replace(text.find(from), from.size(),
                        "modelVersion=" + std::to_string(version) + "\n");
}

bool serves(const Fleet &fleet, const std::string &modelVersion, ConfigVersion fence)
{
    const Result<config::EngineReport> report =
        http::readEngineReport(fleet.fetchText(fleet.engineAddress(0), http::ordersPath));
    return report && report->servedModel.modelVersion == modelVersion && report->fence == fence;
}

int sendOrder(const Fleet &fleet, ConfigVersion fence, const std::string &token)
{
    config::EngineOrder order;
    order.fence = fence;
    order.servedModel.model = "egret-7b";
    order.servedModel.modelVersion = "old";
    Poco::Net::HTTPRequest request("POST", http::ordersPath, "HTTP/1.1");
    request.set(http::senderHeader, token);
    return http::fetch(fleet.engineAddress(0), request, http::writeOrder(order), 3'000_ms)
        ->status();
}

} // namespace

TEST_CASE("config orders: engines get what the document says, and keep it")
{
    SUBCASE("engines that check fence and sender refuse old and foreign orders")
    {
        Fleet fleet(orderOptions(true));
        fleet.waitReady();
        REQUIRE(waitUntil([&] { return serves(fleet, "1", 1); }, orderBound));
        REQUIRE(fleet.publish(withModelVersion(fleet, 2), 1) == 200);
        REQUIRE(waitUntil([&] { return serves(fleet, "2", 2); }, orderBound));
        CHECK(sendOrder(fleet, 1, "fleet-orders") == 409);
        CHECK(sendOrder(fleet, 3, "stranger") == 403);
        CHECK(serves(fleet, "2", 2));
    }
    SUBCASE("engines that ignore fences are corrected")
    {
        Fleet fleet(orderOptions(false));
        fleet.waitReady();
        REQUIRE(fleet.publish(withModelVersion(fleet, 2), 1) == 200);
        REQUIRE(waitUntil([&] { return serves(fleet, "2", 2); }, orderBound));
        CHECK(sendOrder(fleet, 1, "fleet-orders") == 200);
        CHECK(waitUntil([&] { return serves(fleet, "2", 2); }, orderBound));
    }
}

TEST_CASE(
    "config orders: another instance takes over from paused ones, who wake and change nothing")
{
    Fleet fleet(orderOptions(true));
    fleet.waitReady();
    REQUIRE(waitUntil([&] { return serves(fleet, "1", 1); }, orderBound));
    fleet.entry(0).signal(SIGSTOP);
    fleet.entry(1).signal(SIGSTOP);
    REQUIRE(fleet.publish(withModelVersion(fleet, 2), 1) == 200);
    CHECK(waitUntil([&] { return serves(fleet, "2", 2); }, orderBound));
    fleet.entry(0).signal(SIGCONT);
    fleet.entry(1).signal(SIGCONT);
    CHECK_FALSE(waitUntil([&] { return !serves(fleet, "2", 2); }, 2'000_ms));
}
