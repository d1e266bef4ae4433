// Measures the cost of credits at one instance: the time of a decision, the time of a change of the
// instance list, and the size of the state.

#include <chrono>
#include <cstdio>
#include <malloc.h>

#include <egretmount/credit/escrow.h>

namespace {

using namespace egretmount;
using namespace egretmount::credit;
using namespace egretmount::literals;
using Clock = std::chrono::steady_clock;

constexpr int decisions = 200'000;

std::vector<config::Target> makeTargets(int count)
{
    std::vector<config::Target> targets(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        targets[static_cast<std::size_t>(i)].id = TargetId("engine-" + std::to_string(i));
        targets[static_cast<std::size_t>(i)].capacity = { 200'000, 64 };
    }
    return targets;
}

double nanosecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::nano>(Clock::now() - start).count();
}

void measure(int instances, int targetCount)
{
    std::vector<InstanceId> instanceIds;
    instanceIds.reserve(static_cast<std::size_t>(instances));
    for (int i = 0; i < instances; ++i)
        instanceIds.emplace_back("entry-" + std::to_string(i));
    const std::vector<config::Target> targets = makeTargets(targetCount);
    const ListedInstances listedInstances(instanceIds);
    const std::size_t before = mallinfo2().uordblks;
    EscrowState state;
    state.self = { instanceIds.front(), 1 };
    const Clock::time_point listStart = Clock::now();
    setTargets(state, targets, listedInstances, 1_ms);
    const double listChange = nanosecondsSince(listStart) / 1e6;
    const std::size_t bytes = mallinfo2().uordblks - before;
    int held = 0;
    const Milliseconds later = 10'000'000_ms; // after the end of every guard time
    TargetId ownTarget;
    for (const config::Target &target : targets) {
        setCold(state, target.id, false, 2_ms);
        if (state.accounts[target.id].share.slots > 0) {
            ownTarget = target.id;
            ++held;
        }
    }
    state.lastTick = later; // so that the jump in time does not count as a process pause
    Request request;
    request.id = RequestId("request");
    request.promptTokens = 500;
    request.deadline = later + 1'000_ms;
    int reserved = 0;
    const Clock::time_point start = Clock::now();
    for (int i = 0; i < decisions; ++i) {
        reserved += inFlightLimit(state, ownTarget, later).slots > 0
                            && reserve(state, ownTarget, request, later)
                        ? 1
                        : 0;
        release(state, request.id, true, later);
    }
    const double nanosecondsPerDecision = nanosecondsSince(start) / decisions;
    std::printf("%9d %8d %6d %12.0f %15.2f %14zu %7d\n", instances, targetCount, held,
                nanosecondsPerDecision, listChange, bytes, reserved);
}

} // namespace

int main()
{
    std::printf("instances  targets   held  ns/decision  ms/list-change  bytes-of-state   taken\n");
    measure(8, 20);
    measure(50, 75);
    measure(200, 300);
    measure(400, 600);
    return 0;
}
