#include <algorithm>
#include <csignal>
#include <thread>

#include <doctest/doctest.h>

#include <egretmount/core/digest.h>

#include "support/fleet.h"
#include "support/once_client.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int plainTargets = 2;
constexpr Milliseconds callTime = 400_ms;

FleetOptions onceOptions()
{
    FleetOptions options;
    options.engines = 0;
    options.plainTargets = plainTargets;
    options.plainServiceKeys = "calls=once\n";
    options.plainFlags = { "--plain_callMs=" + std::to_string(callTime.count()) };
    return options;
}

void pause(Milliseconds time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

// Takes a ticket once the issuer has a link to a peer that can be the witness.
std::string takeWitnessedTicket(const Fleet &fleet, int issuer)
{
    std::string ticket;
    REQUIRE(waitUntil(
        [&] {
            ticket = takeTicket(fleet, issuer);
            return !ticket.empty() && witnessOf(ticket) >= 0;
        },
        5'000_ms));
    return ticket;
}

// An instance that is neither the issuer of the ticket nor its witness.
int bystander(int issuer, const std::string &ticket)
{
    for (int i = 0; i < 3; ++i) {
        if (i != issuer && i != witnessOf(ticket))
            return i;
    }
    return -1;
}

void waitExecuted(const Fleet &fleet, const std::string &id)
{
    REQUIRE(waitUntil([&] { return executionsOf(fleet, plainTargets, id) == 1; }, 3'000_ms));
}

} // namespace

TEST_CASE("a call that may not be repeated needs a good ticket")
{
    const std::string otherToken = "other-team-token";
    FleetOptions options = onceOptions();
    options.plainServiceKeys +=
        "[team.others]\npriority=normal\ntokenHash=" + toHex(sha256(otherToken)) + "\n";
    Fleet fleet(options);
    fleet.waitReady();
    const CallReport without = callOnce(fleet, 0, "", "without");
    CHECK(without.status == 428);
    CHECK(without.verdict == "not run");

    const std::string ticket = takeWitnessedTicket(fleet, 0);
    std::string forged = ticket;
    forged.back() = forged.back() == '0' ? '1' : '0';
    const CallReport forgedReport = callOnce(fleet, 0, forged, "forged");
    CHECK(forgedReport.status == 403);
    CHECK(forgedReport.verdict == "not run");
    const CallReport foreign = callOnce(fleet, 0, ticket, "foreign", 1'000_ms, otherToken);
    CHECK(foreign.status == 403);
    CHECK(foreign.verdict == "not run");
    // A refusal before the ticket is looked at claims nothing of the ticket.
    const CallReport stranger = callOnce(fleet, 0, ticket, "stranger", 1'000_ms, "no token");
    CHECK(stranger.status == 401);
    CHECK(stranger.verdict == "may have run");

    CHECK(witnessOf(ticket) > 0);
    const CallReport first = callOnce(fleet, 0, ticket, "good");
    CHECK(first.status == 200);
    CHECK(first.verdict == "ran");
    // The stored answer comes from every instance, and without a second execution.
    for (int i = 0; i < 3; ++i) {
        const CallReport repeat = callOnce(fleet, i, ticket, "good");
        CHECK(repeat.body == first.body);
        CHECK(repeat.verdict == "ran");
    }
    CHECK(executionsOf(fleet, plainTargets, "good") == 1);
    CHECK(executionsOf(fleet, plainTargets, "forged") == 0);
}

TEST_CASE("repeats sent to several instances at once share one execution")
{
    Fleet fleet(onceOptions());
    fleet.waitReady();
    const std::string ticket = takeWitnessedTicket(fleet, 1);
    std::vector<CallReport> reports(9);
    std::vector<std::thread> callers;
    callers.reserve(reports.size());
    for (int i = 0; i < 9; ++i)
        callers.emplace_back([&, i] {
            reports[static_cast<std::size_t>(i)] = callOnce(fleet, i % 3, ticket, "many");
        });
    for (std::thread &caller : callers)
        caller.join();
    for (const CallReport &report : reports) {
        CHECK(report.status == 200);
        CHECK(report.body == reports.front().body);
    }
    CHECK(executionsOf(fleet, plainTargets, "many") == 1);
}

TEST_CASE("an expired ticket is refused and has not run")
{
    FleetOptions options = onceOptions();
    options.entrySettings = "[tickets]\nlifetimeMs=300\n";
    Fleet fleet(options);
    fleet.waitReady();
    const std::string ticket = takeWitnessedTicket(fleet, 0);
    pause(400_ms);
    const CallReport report = callOnce(fleet, 1, ticket, "expired");
    CHECK(report.status == 410);
    CHECK(report.verdict == "not run");
    CHECK(executionsOf(fleet, plainTargets, "expired") == 0);
}

TEST_CASE("an issuer that dies before the call leaves a true 'not run'")
{
    Fleet fleet(onceOptions());
    fleet.waitReady();
    const std::string ticket = takeWitnessedTicket(fleet, 0);
    const int other = bystander(0, ticket);
    fleet.entry(0).kill();
    const CallReport report = callOnce(fleet, other, ticket, "unsent");
    CHECK(report.status == 409);
    CHECK(report.verdict == "not run");
    fleet.startEntry(0);
    CHECK(waitUntil([&] { return callOnce(fleet, 0, ticket, "unsent").status == 409; }, 5'000_ms));
    CHECK(executionsOf(fleet, plainTargets, "unsent") == 0);
}

TEST_CASE("an issuer that dies after the dispatch leaves 'may have run'")
{
    Fleet fleet(onceOptions());
    fleet.waitReady();
    const std::string ticket = takeWitnessedTicket(fleet, 0);
    const int other = bystander(0, ticket);
    CallReport report;
    std::thread caller([&] { report = callOnce(fleet, other, ticket, "sent"); });
    waitExecuted(fleet, "sent");
    fleet.entry(0).kill();
    caller.join();
    CHECK(report.verdict == "may have run");
    CHECK(callOnce(fleet, other, ticket, "sent").verdict == "may have run");
    CHECK(executionsOf(fleet, plainTargets, "sent") == 1);
}

TEST_CASE("a frozen issuer's ticket is void for ever once 'not run' was said")
{
    Fleet fleet(onceOptions());
    fleet.waitReady();
    const std::string ticket = takeWitnessedTicket(fleet, 0);
    fleet.entry(0).signal(SIGSTOP);
    // The frozen issuer holds a request of its own, which it reads when it wakes up.
    CallReport direct;
    std::thread caller([&] { direct = callOnce(fleet, 0, ticket, "frozen", 8'000_ms); });
    const CallReport report = callOnce(fleet, bystander(0, ticket), ticket, "frozen");
    CHECK(report.verdict == "not run");
    fleet.entry(0).signal(SIGCONT);
    caller.join();
    CHECK(direct.verdict == "not run");
    CHECK(executionsOf(fleet, plainTargets, "frozen") == 0);
}

TEST_CASE("without its witness a call is not sent, and a new ticket names another witness")
{
    Fleet fleet(onceOptions());
    fleet.waitReady();
    const std::string ticket = takeWitnessedTicket(fleet, 0);
    const int witness = witnessOf(ticket);
    fleet.entry(witness).kill();
    const CallReport report = callOnce(fleet, 0, ticket, "unpermitted");
    CHECK(report.verdict == "not run");
    CHECK(executionsOf(fleet, plainTargets, "unpermitted") == 0);
    const auto isServed = [&] {
        return callOnce(fleet, 0, takeTicket(fleet, 0), "renewed").status == 200;
    };
    CHECK(waitUntil(isServed, 5'000_ms));
}

TEST_CASE("a restarted witness remembers nothing and claims nothing")
{
    Fleet fleet(onceOptions());
    fleet.waitReady();
    const std::string ticket = takeWitnessedTicket(fleet, 0);
    const int witness = witnessOf(ticket);
    fleet.entry(witness).kill();
    fleet.startEntry(witness);
    fleet.entry(0).kill();
    const auto isRefused = [&] {
        return callOnce(fleet, witness, ticket, "forgotten").verdict == "may have run";
    };
    CHECK(waitUntil(isRefused, 6'000_ms));
    CHECK(executionsOf(fleet, plainTargets, "forgotten") == 0);
}
