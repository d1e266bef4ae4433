#include <doctest/doctest.h>

#include <set>

#include <egretmount/limits/retry_after.h>

using namespace egretmount;
using namespace egretmount::literals;

TEST_CASE("callers with time left retry after the end of a store outage")
{
    // After a restart of all instances, the store may stay unavailable for another second. Callers
    // retry only once, and a retry within that second would be refused as well.
    for (std::uint64_t randomBits = 0; randomBits < 1'000; ++randomBits)
        CHECK(limits::outageRetryDelay(10'000_ms, randomBits) >= 1'500_ms);
}

TEST_CASE("the retry delay is at most half of the caller's remaining time")
{
    for (const Milliseconds timeLeft : { 600_ms, 800_ms, 1'500_ms, 10'000_ms }) {
        for (std::uint64_t randomBits = 0; randomBits < 100; ++randomBits)
            CHECK(limits::outageRetryDelay(timeLeft, randomBits) <= timeLeft / 2);
    }
    CHECK(limits::outageRetryDelay(0_ms, 7) == 0_ms);
}

TEST_CASE("retry delays of callers that are refused together have jitter")
{
    std::set<Milliseconds> delays;
    for (std::uint64_t randomBits = 0; randomBits < 10'000; randomBits += 37)
        delays.insert(limits::outageRetryDelay(std::nullopt, randomBits));
    CHECK(delays.size() > 100);
}

TEST_CASE("a request waits for the configuration for only part of its caller's remaining time")
{
    CHECK(limits::configurationWait(800_ms) <= 200_ms);
    CHECK(limits::configurationWait(10'000_ms) <= 2'500_ms);
    CHECK(limits::configurationWait(60'000_ms) == limits::maxConfigurationWait);
    CHECK(limits::configurationWait(0_ms) == 0_ms);
}
