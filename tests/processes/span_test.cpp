#include <csignal>
#include <thread>

#include <doctest/doctest.h>

#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr TokenCount longPromptTokens = 50'000; // 2.5 times the memory of one engine
constexpr TokenCount answerTokens = 60;
constexpr int engineCount = 7; // the estimate of 70,000 tokens takes five, two are spare

FleetOptions smallEngines()
{
    FleetOptions options;
    options.instances = 1;
    options.engines = engineCount;
    options.zones = { "zone-a" };
    options.targetKeys = "tokens=20000\nslots=16\ncoldTokens=20000\ncoldSlots=16\n";
    options.engineFlags = { "--engine_memoryTokens=20000",
                            "--engine_prefillTokensPerSecond=40000" };
    return options;
}

// The memory of every engine that runs is free again.
bool isAllMemoryFree(Fleet &fleet)
{
    for (int i = 0; i < engineCount; ++i) {
        if (!fleet.engine(i).isRunning())
            continue;
        const std::string stats = fleet.fetchText(fleet.engineAddress(i), "/v1/stats");
        if (stats.find("\"tokens\":0") == std::string::npos)
            return false;
    }
    return true;
}

int enginesInUse(const Fleet &fleet)
{
    int count = 0;
    for (int i = 0; i < engineCount; ++i) {
        const std::string stats = fleet.fetchText(fleet.engineAddress(i), "/v1/stats");
        count += stats.find("\"slots\":0") == std::string::npos ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a prompt beyond one engine's memory is served by several")
{
    Fleet fleet(smallEngines());
    fleet.waitReady();

    SUBCASE("the answer is that of one engine with enough memory")
    {
        const load::CallerRequest request =
            fleet.request(0, "whole", longPromptTokens, answerTokens);
        const load::CallerResult result = load::complete(request);
        CHECK(result.isComplete);
        CHECK(result.tokens.size() == answerTokens);

        Process large(
            "egretmount-fake-target",
            { "--target_address=" + fleet.engineAddress(9), "--engine_memoryTokens=200000" },
            fleet.folder() + "/large.log");
        load::CallerRequest direct = request;
        direct.address = fleet.engineAddress(9);
        REQUIRE(waitUntil([&] { return load::complete(direct).isComplete; }, 5'000_ms));
        CHECK(load::complete(direct).tokens == result.tokens);
        CHECK(waitUntil([&] { return isAllMemoryFree(fleet); }, 3'000_ms));
    }
    SUBCASE("an engine that is lost in the middle costs its part only")
    {
        load::CallerResult result;
        std::thread caller(
            [&] { result = load::complete(fleet.request(0, "loss", longPromptTokens, 400)); });
        CHECK(waitUntil([&] { return enginesInUse(fleet) >= 3; }, 10'000_ms));
        int first = 0;
        while (fleet.fetchText(fleet.engineAddress(first), "/v1/stats").find("\"slots\":0")
               != std::string::npos)
            ++first;
        fleet.engine(first).kill();
        caller.join();
        INFO("error: " << result.error);
        CHECK(result.isComplete);
        CHECK(result.tokens.size() == 400);
        CHECK(waitUntil([&] { return isAllMemoryFree(fleet); }, 5'000_ms));
    }
    SUBCASE("two that compete both complete")
    {
        std::vector<load::CallerResult> results(2);
        std::vector<std::thread> callers;
        callers.reserve(results.size());
        for (int i = 0; i < 2; ++i) {
            callers.emplace_back([&, i] {
                results[static_cast<std::size_t>(i)] = load::complete(
                    fleet.request(0, "rival-" + std::to_string(i), longPromptTokens, answerTokens));
            });
        }
        for (std::thread &caller : callers)
            caller.join();
        // Seven engines hold one span at a time: the other is served after it or refused at once.
        int whole = 0;
        for (const load::CallerResult &result : results) {
            whole += result.isComplete ? 1 : 0;
            CHECK((result.isComplete || result.retryAfterMs > 0));
        }
        CHECK(whole >= 1);
        CHECK(waitUntil([&] { return isAllMemoryFree(fleet); }, 5'000_ms));
    }
    SUBCASE("a caller that leaves gives all memory back")
    {
        load::CallerRequest request = fleet.request(0, "gone", longPromptTokens, 4000);
        request.deadline = 1'500_ms;
        const load::CallerResult result = load::complete(request);
        CHECK_FALSE(result.isComplete);
        CHECK(waitUntil([&] { return isAllMemoryFree(fleet); }, 5'000_ms));
    }
}
