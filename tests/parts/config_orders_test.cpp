#include <doctest/doctest.h>

#include <egretmount/config/orders.h>
#include <egretmount/core/random.h>

using namespace egretmount;
using namespace egretmount::config;

namespace {

FleetDocument documentOf(ConfigVersion version, const std::string &model, bool checksFence)
{
    FleetDocument document;
    document.version = version;
    Service service;
    service.id = ServiceId("llm");
    service.model = "egret-7b";
    service.modelVersion = model;
    service.adapters = { "b", "a" };
    document.services.push_back(service);
    Target target;
    target.id = TargetId("engine-0");
    target.service = service.id;
    target.checksFence = checksFence;
    document.targets.push_back(target);
    return document;
}

struct Engine
{
    bool checksFence = false;
    EngineReport report;

    void execute(const EngineOrder &order)
    {
        if (checksFence && order.fence < report.fence)
            return;
        report.fence = order.fence;
        report.servedModel = order.servedModel;
    }
};

std::optional<EngineOrder> nextOrder(const FleetDocument &document, const Engine &engine)
{
    return orderFor(document, document.targets.front(), engine.report);
}

/// Senders with documents of different versions send orders that arrive late and out of order.
/// Returns how often the engine executed an order with a lower fence than its last one.
int countRollbacks(std::uint64_t seed, bool checksFence)
{
    Random random(seed);
    std::vector<FleetDocument> documents;
    for (ConfigVersion version = 1; version <= 5; ++version)
        documents.push_back(documentOf(version, std::to_string(random.below(3)), checksFence));
    Engine engine { checksFence, {} };
    std::vector<EngineOrder> delayedOrders;
    int rollbacks = 0;
    for (int i = 0; i < 60; ++i) {
        const FleetDocument &document = documents[random.below(5)];
        const std::optional<EngineOrder> order = nextOrder(document, engine);
        if (order)
            delayedOrders.push_back(*order);
        if (delayedOrders.empty())
            continue;
        const ConfigVersion before = engine.report.fence;
        engine.execute(delayedOrders[random.below(delayedOrders.size())]);
        rollbacks += engine.report.fence < before ? 1 : 0;
    }
    // The next orders from the newest document bring the engine to the desired state.
    for (int i = 0; i < 2; ++i) {
        const std::optional<EngineOrder> order = nextOrder(documents.back(), engine);
        if (order)
            engine.execute(*order);
    }
    CHECK(engine.report.servedModel
          == desiredModel(documents.back(), documents.back().targets.front()));
    return rollbacks;
}

} // namespace

TEST_CASE("config orders: an engine gets an order only while it differs from the document")
{
    const FleetDocument document = documentOf(3, "1", false);
    Engine engine;
    const std::optional<EngineOrder> order = nextOrder(document, engine);
    REQUIRE(order);
    CHECK(order->fence == 3);
    CHECK(order->servedModel.adapters == std::vector<std::string> { "a", "b" });
    engine.execute(*order);
    CHECK_FALSE(nextOrder(document, engine));
    CHECK_FALSE(nextOrder(documentOf(4, "1", false), engine));
    CHECK(nextOrder(documentOf(4, "1", true), engine)); // only the fence is new
    CHECK_FALSE(nextOrder(documentOf(2, "2", false), engine)); // the sender has an older document
}

TEST_CASE(
    "config orders: a model change waits until the engine is idle, an adapter change does not")
{
    FleetDocument document = documentOf(1, "1", false);
    Engine engine;
    engine.execute(*nextOrder(document, engine));
    engine.report.isBusy = true;
    CHECK_FALSE(nextOrder(documentOf(2, "2", false), engine));
    document.version = 2;
    document.services.front().adapters = { "c" };
    CHECK(nextOrder(document, engine));
    engine.report.isBusy = false;
    CHECK(nextOrder(documentOf(2, "2", false), engine));
}

TEST_CASE(
    "config orders: late orders roll back no engine that checks fences, 2,000 seeded schedules")
{
    int rollbacksWithoutFence = 0;
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        CAPTURE(seed);
        REQUIRE(countRollbacks(seed, true) == 0);
        rollbacksWithoutFence += countRollbacks(seed, false);
    }
    // Engines that ignore fences do roll back and are corrected later, so the check can detect
    // rollbacks.
    CHECK(rollbacksWithoutFence > 0);
}
