// What the permit costs and buys. Not run by default: -tc='measure*' -ns
#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include <egretmount/core/random.h>

#include "support/fleet.h"
#include "support/once_client.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

FleetOptions measureOptions(bool usesWitness, int callMs)
{
    FleetOptions options;
    options.engines = 0;
    options.plainTargets = 2;
    options.plainServiceKeys = "calls=once\n";
    options.plainFlags = { "--plain_callMs=" + std::to_string(callMs) };
    options.entrySettings =
        std::string("[tickets]\nwitness=") + (usesWitness ? "yes" : "no") + "\n";
    return options;
}

std::string ticketWith(const Fleet &fleet, bool usesWitness)
{
    std::string ticket;
    REQUIRE(waitUntil(
        [&] {
            ticket = takeTicket(fleet, 0);
            return !ticket.empty() && (witnessOf(ticket) >= 0) == usesWitness;
        },
        5'000_ms));
    return ticket;
}

double timedCall(const Fleet &fleet, bool usesWitness, int number)
{
    const std::string ticket = ticketWith(fleet, usesWitness);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    const CallReport report = callOnce(fleet, 0, ticket, "call-" + std::to_string(number));
    CHECK(report.status == 200);
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

struct Shares
{
    int notRun = 0;
    int mayHaveRun = 0;
    int ran = 0;
    int unexecuted = 0; ///< Calls that no target has executed.
    int falseNotRun = 0;
};

// Calls are sent through another instance while the issuer is killed.
void killIssuer(bool usesWitness, std::uint64_t seed, Shares &shares)
{
    constexpr int calls = 40;
    Fleet fleet(measureOptions(usesWitness, 100));
    fleet.waitReady();
    Random random(seed);
    std::vector<std::thread> callers;
    std::vector<CallReport> reports(calls);
    callers.reserve(calls);
    for (int i = 0; i < calls; ++i) {
        const std::string ticket = ticketWith(fleet, usesWitness);
        const Milliseconds delay = random.between(0_ms, 600_ms);
        callers.emplace_back([&, i, ticket, delay] {
            std::this_thread::sleep_for(std::chrono::milliseconds(delay.count()));
            reports[static_cast<std::size_t>(i)] =
                callOnce(fleet, 1, ticket, "call-" + std::to_string(i));
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.entry(0).kill();
    for (std::thread &caller : callers)
        caller.join();
    for (int i = 0; i < calls; ++i) {
        const CallReport &report = reports[static_cast<std::size_t>(i)];
        const int executions = executionsOf(fleet, 2, "call-" + std::to_string(i));
        shares.unexecuted += executions == 0 ? 1 : 0;
        shares.notRun += report.verdict == "not run" ? 1 : 0;
        shares.mayHaveRun += report.verdict == "may have run" ? 1 : 0;
        shares.ran += report.verdict == "ran" ? 1 : 0;
        shares.falseNotRun += report.verdict == "not run" && executions > 0 ? 1 : 0;
        CHECK(executions <= 1);
    }
}

} // namespace

TEST_CASE("measure what the permit costs" * doctest::skip())
{
    constexpr int calls = 1'000;
    Fleet with(measureOptions(true, 0));
    Fleet without(measureOptions(false, 0));
    with.waitReady();
    without.waitReady();
    std::vector<double> timesWith;
    std::vector<double> timesWithout;
    for (int i = 0; i < calls; ++i) {
        timesWith.push_back(timedCall(with, true, i));
        timesWithout.push_back(timedCall(without, false, i));
    }
    for (const double fraction : { 0.5, 0.99 }) {
        MESSAGE("quantile ", fraction, ": with a witness ", quantile(timesWith, fraction),
                " ms, without ", quantile(timesWithout, fraction), " ms");
    }
}

TEST_CASE("measure what the permit buys" * doctest::skip())
{
    for (const bool usesWitness : { true, false }) {
        Shares shares;
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
            killIssuer(usesWitness, seed, shares);
        MESSAGE("witness ", usesWitness, ": not run ", shares.notRun, " may have run ",
                shares.mayHaveRun, " ran ", shares.ran, " unexecuted ", shares.unexecuted,
                " false 'not run' ", shares.falseNotRun);
        CHECK(shares.falseNotRun == 0);
    }
}
