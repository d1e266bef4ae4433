// Measures the cost of a routing decision for different sizes of the fleet and of the share that
// one instance has of it.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <deque>

#include <egretmount/routing/dispatcher.h>

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::routing;

namespace {

constexpr int rounds = 7;
constexpr std::size_t decisions = 20'000;
constexpr std::size_t runningRequests = 100;

struct Size
{
    std::size_t engines = 0;
    std::size_t shares = 0; ///< Engines on which the instance has a share of the capacity.
    std::size_t teams = 0;
};

DispatchState makeState(const Size &size)
{
    DispatchState state;
    state.ownZone = ZoneId("wien-a");
    std::vector<TargetView> views(size.engines);
    for (std::size_t i = 0; i < size.engines; ++i) {
        views[i].id = TargetId("engine-" + std::to_string(i));
        views[i].service = ServiceId("llm");
        views[i].zone = ZoneId(i % 3 == 0 ? "wien-a" : "wien-b");
        views[i].capacity = { 400'000, 64 };
        const bool hasShare =
            i * size.shares / size.engines != (i + 1) * size.shares / size.engines;
        views[i].spendable = hasShare ? views[i].capacity : config::Capacity();
    }
    setTargets(state, views, 0_ms);
    return state;
}

// Returns the nanoseconds of one decision, including the first-token event of an earlier request
// and the end of another one.
double measure(const Size &size)
{
    DispatchState state = makeState(size);
    Random random(1);
    std::vector<Request> requests(decisions);
    for (std::size_t i = 0; i < decisions; ++i) {
        requests[i].id = RequestId("request-" + std::to_string(i));
        requests[i].team = TeamId("team-" + std::to_string(random.below(size.teams)));
        requests[i].service = ServiceId("llm");
        requests[i].promptTokens = 200 + static_cast<TokenCount>(random.below(2'400));
        requests[i].maxTokens = 48;
    }
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < decisions; ++i) {
        const Milliseconds now(static_cast<std::int64_t>(i / 2));
        requests[i].arrival = now;
        requests[i].deadline = now + 5'000_ms;
        submit(state, requests[i], 1, now);
        if (i < runningRequests)
            continue;
        onFirstToken(state, requests[i - runningRequests / 2].id, now);
        finish(state, requests[i - runningRequests].id, Outcome::Completed, 30, now);
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return took.count() / static_cast<double>(decisions);
}

} // namespace

int main()
{
    std::printf("%8s %8s %8s %16s\n", "engines", "shares", "teams", "ns per request");
    const std::array<Size, 5> sizes { { { 20, 20, 10 },
                                        { 100, 20, 1'000 },
                                        { 300, 20, 4'000 },
                                        { 600, 12, 7'500 },
                                        { 600, 20, 7'500 } } };
    for (const Size &size : sizes) {
        std::array<double, rounds> times {};
        for (double &time : times)
            time = measure(size);
        std::sort(times.begin(), times.end());
        std::printf("%8zu %8zu %8zu %16.0f\n", size.engines, size.shares, size.teams,
                    times[rounds / 2]);
    }
    return 0;
}
