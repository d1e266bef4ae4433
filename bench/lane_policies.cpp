// Compares the lane policies over the same arrivals on a small modelled fleet. Prints a table.

#include <array>
#include <cstdio>
#include <cstdlib>

#include "support/small_fleet.h"

using namespace egretmount;
using namespace egretmount::tests;

namespace {

constexpr std::size_t targets = 20;
constexpr Milliseconds drainTime = Milliseconds(20'000);

struct Row
{
    std::int64_t shortP50 = 0;
    std::int64_t shortP99 = 0;
    std::int64_t longP99 = 0;
    double shortInTime = 0;
    double longInTime = 0;
    double lateShare = 0; ///< Of the admitted ones.
    double goodTokens = 0;
};

Row measure(routing::LanePolicy policy, const Workload &workload)
{
    std::vector<Arrival> arrivals = makeArrivals(workload);
    SmallFleet fleet(policy, targets);
    fleet.run(arrivals, workload.length + drainTime);
    const auto isShort = [](const Arrival &arrival) { return !arrival.isLong(); };
    const auto isLong = [](const Arrival &arrival) { return arrival.isLong(); };
    Row row { firstTokenQuantile(arrivals, 0.5, isShort),
              firstTokenQuantile(arrivals, 0.99, isShort),
              firstTokenQuantile(arrivals, 0.99, isLong) };
    std::array<double, 2> all {};
    std::array<double, 2> good {};
    double admitted = 0;
    double late = 0;
    for (const Arrival &arrival : arrivals) {
        const std::size_t kind = arrival.isLong() ? 1 : 0;
        all[kind] += 1;
        good[kind] += arrival.isInTime() ? 1 : 0;
        admitted += arrival.isRefused ? 0 : 1;
        late += !arrival.isRefused && !arrival.isInTime() ? 1 : 0;
        if (arrival.isInTime())
            row.goodTokens += static_cast<double>(arrival.request.promptTokens);
    }
    row.shortInTime = good[0] / std::max(1.0, all[0]);
    row.longInTime = good[1] / std::max(1.0, all[1]);
    row.lateShare = late / std::max(1.0, admitted);
    return row;
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
            workload.hasLong = false;
            const Row alone = measure(policy.value, workload);
            workload.hasLong = true;
            const Row mixed = measure(policy.value, workload);
            std::printf("%-6.0f %-9s %6lld %6lld %9lld %6.2f %8lld %8.3f %8.3f %8.4f %.0f\n", rate,
                        std::string(policy.name).c_str(), static_cast<long long>(mixed.shortP50),
                        static_cast<long long>(mixed.shortP99),
                        static_cast<long long>(alone.shortP99),
                        static_cast<double>(mixed.shortP99) / static_cast<double>(alone.shortP99),
                        static_cast<long long>(mixed.longP99), mixed.shortInTime, mixed.longInTime,
                        mixed.lateShare, mixed.goodTokens / 1e6);
        }
    }
    return 0;
}
