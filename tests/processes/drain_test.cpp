#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <thread>

#include <doctest/doctest.h>

#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr Milliseconds maxAge = 1'500_ms;
constexpr Milliseconds noNewWorkBound = 3'000_ms;

FleetOptions drainOptions()
{
    FleetOptions options;
    options.instances = 4;
    options.engines = 3;
    options.entrySettings = "[limits]\nlocateMaxAgeMs=1500\ndrainSlackMs=500\n";
    return options;
}

/// Callers that send requests without pause until they are stopped.
class Callers
{
public:
    /// @param choose The index of the instance to call next, from a thread of its own.
    Callers(const Fleet &fleet, int count, const std::function<int(int)> &choose)
    {
        for (int i = 0; i < count; ++i)
            m_threads.emplace_back([this, &fleet, i, choose] { call(fleet, i, choose); });
    }
    ~Callers() { stop(); }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void stop()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    /// Requests sent from a time on that a target served.
    int servedBy(const std::string &target, Milliseconds from)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return static_cast<int>(
            std::count_if(m_served.begin(), m_served.end(), [&](const Served &one) {
                return one.target == target && one.sentAt >= from;
            }));
    }

    /// Requests that were answered, but neither completed nor refused as not run.
    int cutOff() const { return m_cutOff; }
    int failed() const { return m_failed; }
    int completed() const { return m_completed; }

private:
    struct Served
    {
        Milliseconds sentAt;
        std::string target;
    };

    void call(const Fleet &fleet, int caller, const std::function<int(int)> &choose)
    {
        for (int number = 0; !m_isStopping; ++number) {
            const std::string id = "load-" + std::to_string(caller) + "-" + std::to_string(number);
            const Milliseconds sentAt = monotonicNow();
            const load::CallerResult result =
                load::complete(fleet.request(choose(caller), id, 100, 10));
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_served.push_back({ sentAt, result.target });
            const bool isRefused = result.status != 200 && result.verdict == "not run";
            if (result.status != 0 && !result.isComplete && !isRefused)
                ++m_cutOff;
            ++(result.isComplete ? m_completed : m_failed);
        }
    }

    std::mutex m_mutex;
    std::vector<Served> m_served; // guarded by m_mutex
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_failed { 0 };
    std::atomic<int> m_cutOff { 0 };
    std::atomic<int> m_completed { 0 };
};

bool isLocatedByAny(const Fleet &fleet, int viewers, int subject)
{
    for (int i = 0; i < viewers; ++i) {
        const std::string text = fleet.fetchText(fleet.entryAddress(i), "/v1/locate");
        if (text.find("\"entry-" + std::to_string(subject) + "\"") != std::string::npos)
            return true;
    }
    return false;
}

std::string with(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("drain: a leaving instance cuts nothing off, and leaves locate everywhere at once")
{
    FleetOptions options = drainOptions();
    Fleet fleet(options);
    fleet.waitReady();
    std::atomic<std::int64_t> signalledAt { 0 };
    // These callers hold the old address as long as they may.
    const auto choose = [&](int caller) {
        const std::int64_t at = signalledAt;
        const bool isHeld = at == 0 || monotonicNow().count() - at < maxAge.count();
        return isHeld ? 3 : caller % 3;
    };
    load::CallerResult streamed;
    Callers callers(fleet, 4, choose);
    std::thread stream(
        [&] { streamed = load::complete(fleet.request(3, "long-stream", 500, 400)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));

    const Milliseconds start = monotonicNow();
    signalledAt = start.count();
    fleet.entry(3).signal(SIGTERM);
    CHECK(waitUntil([&] { return !isLocatedByAny(fleet, 4, 3); }, 1'000_ms));
    MESSAGE("left-locate-ms=" << (monotonicNow() - start).count());
    fleet.entry(3).signal(SIGTERM); // as good as once
    stream.join();
    CHECK(streamed.isComplete);
    CHECK(fleet.entry(3).wait() == 0);
    CHECK(monotonicNow() - start >= maxAge);
    callers.stop();
    MESSAGE("completed=" << callers.completed());
    CHECK(callers.failed() == 0);
    CHECK(callers.completed() > 0);
}

TEST_CASE("drain: callers that never let go do not keep an instance from ending")
{
    Fleet fleet(drainOptions());
    fleet.waitReady();
    Callers callers(fleet, 6, [](int) { return 3; });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.entry(3).signal(SIGTERM);
    CHECK(waitUntil([&] { return !fleet.entry(3).isRunning(); }, maxAge + 5'000_ms));
    callers.stop();
    CHECK(callers.cutOff() == 0);
    CHECK(callers.completed() > 0);
}

TEST_CASE("drain: a target or availability zone that is out receives no new work after 3 s")
{
    FleetOptions options = drainOptions();
    options.instances = 3;
    Fleet fleet(options);
    fleet.waitReady();
    std::string changed;
    SUBCASE("the zone")
    {
        changed =
            with(fleet.document(2), "[zone.zone-b]\nstate=active", "[zone.zone-b]\nstate=out");
    }
    SUBCASE("the target")
    {
        changed =
            with(fleet.document(2), "[target.engine-1]\n", "[target.engine-1]\nstate=leaving\n");
    }
    Callers callers(fleet, 4, [](int caller) { return caller % 3; });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const Milliseconds publishedAt = monotonicNow();
    REQUIRE(fleet.publish(changed, 1) == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(noNewWorkBound.count() + 1'500));
    callers.stop();
    MESSAGE("completed=" << callers.completed()
                         << " served-by-it=" << callers.servedBy("engine-1", 0_ms));
    CHECK(callers.servedBy("engine-1", 0_ms) > 0);
    CHECK(callers.servedBy("engine-1", publishedAt + noNewWorkBound) == 0);
    CHECK(callers.servedBy("engine-0", publishedAt + noNewWorkBound) > 0);
    CHECK(callers.failed() == 0);
}
