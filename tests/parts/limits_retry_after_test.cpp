#include <doctest/doctest.h>

#include <set>

#include <egretmount/limits/retry_after.h>

using namespace egretmount;
using namespace egretmount::literals;

TEST_CASE("all killed while the store is away: callers with time return after its outage")
{
    // The pattern: the store is away for another second when the instances are back, and callers
    // try once more. A second try within one second would be refused as well.
    for (std::uint64_t randomBits = 0; randomBits < 1'000; ++randomBits)
        CHECK(limits::outageRetryDelay(10'000_ms, randomBits) >= 1'500_ms);
}

TEST_CASE("a caller is never told to return when more than half of its time is over")
{
    for (const Milliseconds timeLeft : { 600_ms, 800_ms, 1'500_ms, 10'000_ms }) {
        for (std::uint64_t randomBits = 0; randomBits < 100; ++randomBits)
            CHECK(limits::outageRetryDelay(timeLeft, randomBits) <= timeLeft / 2);
    }
    CHECK(limits::outageRetryDelay(0_ms, 7) == 0_ms);
}

TEST_CASE("callers that are refused together return spread")
{
    std::set<Milliseconds> delays;
    for (std::uint64_t randomBits = 0; randomBits < 10'000; randomBits += 37)
        delays.insert(limits::outageRetryDelay(std::nullopt, randomBits));
    CHECK(delays.size() > 100);
}

TEST_CASE("a request waits for the configuration for a part of its caller's time only")
{
    CHECK(limits::configurationWait(800_ms) <= 200_ms);
    CHECK(limits::configurationWait(10'000_ms) <= 2'500_ms);
    CHECK(limits::configurationWait(60'000_ms) == limits::maxConfigurationWait);
    CHECK(limits::configurationWait(0_ms) == 0_ms);
}
