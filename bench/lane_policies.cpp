// Compares the lane policies with the same arrivals on a small modelled fleet and prints a table.

#include <array>
#include <cstdio>
#include <cstdlib>

#include "model/small_fleet.h"

using namespace egretmount;
using namespace egretmount::tests;

namespace {

constexpr std::size_t targets = 20;
constexpr Milliseconds drainTime = Milliseconds(20'000);

struct LatencyRow
{
    std::int64_t shortP50 = 0;
    std::int64_t shortP99 = 0;
    std::int64_t longP99 = 0;
    double shortOnTimeShare = 0;
    double longOnTimeShare = 0;
    double lateShare = 0; ///< Share of the admitted requests that missed the deadline.
};

LatencyRow measure(routing::LanePolicy policy, const Workload &workload)
{
    std::vector<Arrival> arrivals = makeArrivals(workload);
    SmallFleet fleet(policy, targets);
    fleet.run(arrivals, workload.duration + drainTime);
    const auto isShort = [](const Arrival &arrival) { return !arrival.isLong(); };
    const auto isLong = [](const Arrival &arrival) { return arrival.isLong(); };
    LatencyRow row { timeToFirstTokenQuantile(arrivals, 0.5, isShort),
                     timeToFirstTokenQuantile(arrivals, 0.99, isShort),
                     timeToFirstTokenQuantile(arrivals, 0.99, isLong) };
    std::array<double, 2> all {};
    std::array<double, 2> onTime {};
    double admitted = 0;
    double late = 0;
    for (const Arrival &arrival : arrivals) {
        const std::size_t kind = arrival.isLong() ? 1 : 0;
        all[kind] += 1;
        onTime[kind] += arrival.isOnTime() ? 1 : 0;
        admitted += arrival.isRefused ? 0 : 1;
        late += !arrival.isRefused && !arrival.isOnTime() ? 1 : 0;
    }
    row.shortOnTimeShare = onTime[0] / std::max(1.0, all[0]);
    row.longOnTimeShare = onTime[1] / std::max(1.0, all[1]);
    row.lateShare = late / std::max(1.0, admitted);
    return row;
}

struct OverloadRow
{
    double goodTokensPerMs = 0;
    double goodLongTokensPerMs = 0;
    double refusedShare = 0;
    double refusedLateShare = 0; ///< Share of the refused requests that had been queued before.
    double lateShare = 0; ///< Share of the admitted requests that missed the deadline.
};

OverloadRow measureOverload(routing::LanePolicy policy, Workload workload)
{
    workload.longDeadline = Milliseconds(5'000);
    std::vector<Arrival> arrivals = makeArrivals(workload);
    SmallFleet(policy, targets).run(arrivals, workload.duration + workload.longDeadline);
    OverloadRow row;
    const double duration = static_cast<double>(workload.duration.count());
    for (const Arrival &arrival : arrivals) {
        row.refusedShare += arrival.isRefused ? 1 : 0;
        const bool waited = arrival.refusedAt > arrival.request.arrival;
        row.refusedLateShare += arrival.isRefused && waited ? 1 : 0;
        row.lateShare += !arrival.isRefused && !arrival.isOnTime() ? 1 : 0;
        const bool isGood = arrival.isOnTime() && arrival.doneAt <= workload.duration;
        const double tokens = isGood ? static_cast<double>(arrival.request.promptTokens) : 0;
        row.goodTokensPerMs += tokens / duration;
        row.goodLongTokensPerMs += arrival.isLong() ? tokens / duration : 0;
    }
    const double all = static_cast<double>(arrivals.size());
    row.lateShare /= std::max(1.0, all - row.refusedShare);
    row.refusedLateShare /= std::max(1.0, row.refusedShare);
    row.refusedShare /= all;
    return row;
}

void printOverload(Workload workload)
{
    std::printf("\nlong prompts within 5 s\n%-6s %-9s %10s %10s %8s %13s %8s\n", "req/s", "policy",
                "good tok/ms", "long", "refused", "refused late", "late");
    for (double rate : { 1'400.0, 1'700.0, 2'600.0, 3'500.0 }) {
        workload.requestsPerSecond = rate;
        for (const NameEntry<routing::LanePolicy> &policy :
             NameTable<routing::LanePolicy>::entries) {
            const OverloadRow row = measureOverload(policy.value, workload);
            std::printf("%-6.0f %-9s %10.0f %10.0f %8.3f %13.3f %8.5f\n", rate,
                        std::string(policy.name).c_str(), row.goodTokensPerMs,
                        row.goodLongTokensPerMs, row.refusedShare, row.refusedLateShare,
                        row.lateShare);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    Workload workload;
    workload.seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("20 targets, 400 prompt tokens/ms each, seed %llu; times in ms\n",
                static_cast<unsigned long long>(workload.seed));
    std::printf("%-6s %-9s %6s %6s %9s %6s %8s %8s %8s %8s\n", "req/s", "policy", "p50", "p99",
                "p99 alone", "ratio", "long p99", "short ok", "long ok", "late");
    for (double rate : { 700.0, 1'100.0, 1'400.0, 2'100.0 }) {
        workload.requestsPerSecond = rate;
        for (const NameEntry<routing::LanePolicy> &policy :
             NameTable<routing::LanePolicy>::entries) {
            workload.hasLongPrompts = false;
            const LatencyRow alone = measure(policy.value, workload);
            workload.hasLongPrompts = true;
            const LatencyRow mixed = measure(policy.value, workload);
            std::printf("%-6.0f %-9s %6lld %6lld %9lld %6.2f %8lld %8.3f %8.3f %8.4f\n", rate,
                        std::string(policy.name).c_str(), static_cast<long long>(mixed.shortP50),
                        static_cast<long long>(mixed.shortP99),
                        static_cast<long long>(alone.shortP99),
                        static_cast<double>(mixed.shortP99) / static_cast<double>(alone.shortP99),
                        static_cast<long long>(mixed.longP99), mixed.shortOnTimeShare,
                        mixed.longOnTimeShare, mixed.lateShare);
        }
    }
    printOverload(workload);
    return 0;
}
