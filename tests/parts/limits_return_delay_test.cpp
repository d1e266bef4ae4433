#include <doctest/doctest.h>

#include <set>

#include <egretmount/limits/return_delay.h>

using namespace egretmount;
using namespace egretmount::literals;

TEST_CASE("all killed while the store is away: callers with time return after its outage")
{
    // The pattern: the store is away for another second when the instances are back, and callers
    // try once more. A second try within one second would be refused as well.
    for (std::uint64_t draw = 0; draw < 1'000; ++draw)
        CHECK(limits::delayInOutage(10'000_ms, draw) >= 1'500_ms);
}

TEST_CASE("a caller is never told to return when more than half of its time is over")
{
    for (const Milliseconds left : { 600_ms, 800_ms, 1'500_ms, 10'000_ms }) {
        for (std::uint64_t draw = 0; draw < 100; ++draw)
            CHECK(limits::delayInOutage(left, draw) <= left / 2);
    }
    CHECK(limits::delayInOutage(0_ms, 7) == 0_ms);
}

TEST_CASE("callers that are refused together return spread")
{
    std::set<Milliseconds> delays;
    for (std::uint64_t draw = 0; draw < 10'000; draw += 37)
        delays.insert(limits::delayInOutage(std::nullopt, draw));
    CHECK(delays.size() > 100);
}

TEST_CASE("a request waits for the configuration for a part of its caller's time only")
{
    CHECK(limits::waitInOutage(800_ms) <= 200_ms);
    CHECK(limits::waitInOutage(10'000_ms) <= 2'500_ms);
    CHECK(limits::waitInOutage(60'000_ms) == limits::longestOutageWait);
    CHECK(limits::waitInOutage(0_ms) == 0_ms);
}
