#include <doctest/doctest.h>

#include "credit_network.h"

using namespace egretmount;
using namespace egretmount::tests;

namespace {

constexpr std::uint64_t schedules = 2'000;

// Returns the first seed, starting at one, whose schedule exceeds the target's capacity; zero if
// there is none.
std::uint64_t firstViolation(CreditFault fault, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (CreditNetwork(seed, fault).run().hasViolation)
            return seed;
    }
    return 0;
}

} // namespace

TEST_CASE("credits: the capacity of a target is not exceeded in any schedule")
{
    std::int64_t completed = 0;
    std::int64_t borrowed = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        const CreditHistory history = CreditNetwork(seed, CreditFault::None).run();
        INFO("seed " << seed << ": " << history.violation);
        REQUIRE_FALSE(history.hasViolation);
        completed += history.started;
        borrowed += history.borrowed;
    }
    // Guards against schedules that pass because they hardly send or borrow anything.
    CHECK(completed > static_cast<std::int64_t>(schedules) * 20);
    CHECK(borrowed > static_cast<std::int64_t>(schedules));
    MESSAGE("schedules " << schedules << ", requests " << completed << ", with loans " << borrowed);
}

TEST_CASE("credits: the schedules detect each injected fault")
{
    for (CreditFault fault : { CreditFault::NoHoldOff, CreditFault::LateSubtraction,
                               CreditFault::GrantCountedTwice, CreditFault::UsedGrantReturned,
                               CreditFault::UnconfirmedReleaseIsFree, CreditFault::PauseIgnored }) {
        const std::uint64_t seed = firstViolation(fault, schedules);
        INFO("fault " << static_cast<int>(fault));
        CHECK(seed != 0);
        MESSAGE("fault " << static_cast<int>(fault) << " found at seed " << seed);
    }
}

TEST_CASE("credits: the shares of at most eight holders add up to the capacity")
{
    for (std::size_t listed : { 1U, 3U, 8U, 400U }) {
        for (std::int64_t slots : { 1, 5, 64 }) {
            credit::Capacity sum;
            for (std::size_t rank = 0; rank < listed; ++rank)
                sum = sum + credit::shareOf({ 200'003, slots }, rank, listed);
            CHECK(sum.tokens == 200'003);
            CHECK(sum.slots == slots);
        }
    }
    CHECK(credit::shareOf({ 0, 2 }, 1, 8).slots == 1);
    CHECK(credit::shareOf({ 0, 2 }, 2, 8).slots == 0);
    CHECK(credit::shareOf({ 0, 0 }, 0, 8).slots == 0);
}

TEST_CASE("credits: the holders of a target do not depend on the order of the list")
{
    const credit::ListedInstances one({ InstanceId("a"), InstanceId("b"), InstanceId("c") });
    const credit::ListedInstances two({ InstanceId("c"), InstanceId("a"), InstanceId("b") });
    CHECK(one.topRanked(TargetId("t"), 8) == two.topRanked(TargetId("t"), 8));
    CHECK(one.topRanked(TargetId("t"), 2).size() == 2);
}
