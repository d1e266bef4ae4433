#include <thread>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <doctest/doctest.h>

#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr std::chrono::milliseconds pollInterval(20);

// Tokens that an instance counts as in flight at all its targets, and that an engine holds.
std::int64_t tokensInFlight(const Fleet &fleet)
{
    Poco::JSON::Parser parser;
    const std::string text = fleet.fetchText(fleet.entryAddress(0), "/v1/status");
    const Poco::JSON::Array::Ptr rows =
        parser.parse(text).extract<Poco::JSON::Object::Ptr>()->getArray("targets");
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < rows->size(); ++i)
        sum +=
            rows->getObject(static_cast<unsigned>(i))->getValue<std::int64_t>("tokens_in_flight");
    return sum;
}

std::int64_t tokensAtEngine(const Fleet &fleet)
{
    Poco::JSON::Parser parser;
    const std::string text = fleet.fetchText(fleet.engineAddress(0), "/v1/stats");
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>()->getValue<std::int64_t>("tokens");
}

} // namespace

TEST_CASE("admission: an instance learns from usage how many tokens a prompt has")
{
    FleetOptions options;
    options.engines = 1;
    Fleet fleet(options);
    fleet.waitReady();
    for (int i = 0; i < 12; ++i)
        REQUIRE(load::complete(fleet.request(0, "teach-" + std::to_string(i))).isComplete);

    load::CallerResult result;
    std::thread caller([&] { result = load::complete(fleet.request(0, "long", 20'000, 400)); });
    const Milliseconds giveUp = monotonicNow() + 5'000_ms;
    std::int64_t atEngine = 0;
    while (atEngine < 20'000 && monotonicNow() < giveUp) {
        std::this_thread::sleep_for(pollInterval);
        atEngine = tokensAtEngine(fleet);
    }
    const std::int64_t counted = tokensInFlight(fleet);
    caller.join();
    CHECK(result.isComplete);
    CHECK(atEngine >= 20'000);
    CHECK(counted >= atEngine); // never less than the engine holds
    CHECK(counted <= atEngine * 5 / 4);
}

TEST_CASE("admission: a team is refused above its token limit")
{
    FleetOptions options;
    Fleet fleet(options);
    fleet.waitReady();
    std::string document = fleet.document(2);
    const std::string section = "[team.testers]\n";
    document.insert(document.find(section) + section.size(), "tokenLimit=1000\n");
    REQUIRE(fleet.publish(document, 1) == 200);
    const Milliseconds giveUp = monotonicNow() + 5'000_ms;
    load::CallerResult refused = load::complete(fleet.request(0, "before", 4'000));
    while (refused.isComplete && monotonicNow() < giveUp) {
        std::this_thread::sleep_for(pollInterval);
        refused = load::complete(fleet.request(0, "above", 4'000));
    }
    CHECK_FALSE(refused.isComplete);
    CHECK(refused.verdict == "not run");
    CHECK(load::complete(fleet.request(0, "below", 100)).isComplete);
}
