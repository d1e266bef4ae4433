#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <egretmount/limits/target_rates.h>

using namespace egretmount;
using namespace egretmount::limits;
using namespace egretmount::literals;

namespace {

constexpr std::int64_t startStamp = 1'000;

fleet::TargetEntry targetEntry(std::int64_t startedAt = startStamp)
{
    fleet::TargetEntry entry;
    entry.id = TargetId("i-1");
    entry.startedAt = startedAt;
    return entry;
}

std::vector<InstanceId> instances(std::size_t count)
{
    std::vector<InstanceId> all;
    for (std::size_t i = 0; i < count; ++i)
        all.emplace_back("10.0.0." + std::to_string(i));
    std::sort(all.begin(), all.end());
    return all;
}

// Most sends in any 4 s.
int mostInWindow(const std::vector<Milliseconds> &times)
{
    int most = 0;
    for (const Milliseconds start : times)
        most = std::max(
            most, static_cast<int>(std::count_if(times.begin(), times.end(), [&](Milliseconds at) {
                return at >= start && at < start + 4'000_ms;
            })));
    return most;
}

int allowed(double perSecond)
{
    return static_cast<int>(1.5 * perSecond * 4 + 5);
}

// Instances that all have requests for one target at any time. Each hears of the limit by itself or
// from another one, within a second.
struct RateModel
{
    std::vector<InstanceId> all;
    std::vector<std::vector<InstanceId>> lists; ///< The live instances as each knows them.
    std::vector<TargetRates> rates;
    std::vector<Milliseconds> sends; ///< Of instances that know the limit.
    std::mt19937_64 random;
    double perSecond;

    RateModel(std::size_t count, double limit, std::uint64_t seed)
        : all(instances(count))
        , lists(count, all)
        , rates(count)
        , random(seed)
        , perSecond(limit)
    { }

    void hear(std::size_t instance, Milliseconds now)
    {
        recordRate(rates[instance], targetEntry().id, startStamp, perSecond, now, now);
    }

    void run(Milliseconds from, Milliseconds until)
    {
        const Milliseconds step = all.size() > 10 ? 100_ms : 10_ms; // for a short test
        for (Milliseconds now = from; now < until; now += step) {
            for (std::size_t i = 0; i < all.size(); ++i) {
                if (findRate(rates[i], targetEntry()) == nullptr
                    || timeUntilSend(rates[i], targetEntry(), { all[i], lists[i] }, now)
                           != Milliseconds())
                    continue;
                recordSend(rates[i], targetEntry(), now);
                sends.push_back(now);
                hear(i, now); // the response names the limit again
            }
        }
    }
};

} // namespace

// Guards against instances whose shares sum to more than the limit, above all where each share is
// far below one request.
TEST_CASE("all instances together keep to the limit that a target names")
{
    for (const std::size_t count : { 1U, 2U, 6U, 8U, 84U, 295U }) {
        for (const double perSecond : { 0.0, 0.3, 1.0, 1.5, 1.7, 4.0, 12.0 }) {
            CAPTURE(count);
            CAPTURE(perSecond);
            RateModel model(count, perSecond, 1);
            for (std::size_t i = 0; i < count; ++i)
                model.hear(i, Milliseconds(static_cast<std::int64_t>(model.random() % 1'000)));
            model.run(1'000_ms, 13'000_ms);
            CHECK(mostInWindow(model.sends) <= allowed(perSecond));
            // Most of the limit is used.
            CHECK(static_cast<double>(model.sends.size()) >= 0.5 * perSecond * 12 - 2);
        }
    }
}

TEST_CASE("instances that hear of the limit late, have restarted or know others keep to it")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const std::size_t count : { 6U, 8U, seed == 1 ? 295U : 30U }) {
            CAPTURE(seed);
            CAPTURE(count);
            RateModel model(count, 1.5, seed);
            for (std::size_t i = 0; i < count; ++i)
                model.hear(i, Milliseconds(static_cast<std::int64_t>(model.random() % 1'000)));
            for (int step = 1; step <= 10; ++step) {
                // One instance restarts, and some lists lack an instance for two seconds.
                const std::size_t restarted = model.random() % count;
                model.rates[restarted] = {};
                const InstanceId missing = model.all[model.random() % count];
                for (std::size_t i = 0; i < count; ++i) {
                    model.lists[i] = model.all;
                    if (model.random() % 4 == 0 && model.all[i] != missing)
                        model.lists[i].erase(
                            std::find(model.lists[i].begin(), model.lists[i].end(), missing));
                }
                const Milliseconds now(std::int64_t(step) * 2'000);
                model.hear(restarted, now);
                model.run(now, now + 2'000_ms);
            }
            CHECK(mostInWindow(model.sends) <= allowed(1.5));
        }
    }
}

TEST_CASE("a limit belongs to one incarnation, and an older statement does not replace a newer one")
{
    TargetRates rates;
    const TargetId id = targetEntry().id;
    CHECK(recordRate(rates, id, startStamp, 2, 1'000_ms, 1'000_ms));
    CHECK_FALSE(recordRate(rates, id, startStamp, 2, 1'100_ms, 1'100_ms));
    CHECK_FALSE(recordRate(rates, id, startStamp - 1, 9, 1'200_ms, 1'200_ms));
    CHECK_FALSE(recordRate(rates, id, startStamp, 9, 900_ms, 1'200_ms));
    REQUIRE(findRate(rates, targetEntry()) != nullptr);
    CHECK(findRate(rates, targetEntry())->perSecond == 2);
    CHECK(findRate(rates, targetEntry(startStamp + 1)) == nullptr);
    CHECK_FALSE(recordUnlimited(rates, id, startStamp, 1'000_ms));
    CHECK(recordUnlimited(rates, id, startStamp, 2'000_ms));
    CHECK(findRate(rates, targetEntry()) == nullptr);
    // Another instance has not heard of the end.
    CHECK_FALSE(recordRate(rates, id, startStamp, 2, 1'500_ms, 2'100_ms));
    CHECK(findRate(rates, targetEntry()) == nullptr);
    CHECK(recordRate(rates, id, startStamp, 3, 2'500_ms, 2'500_ms));
    CHECK(recordRate(rates, id, startStamp + 1, 2, 2'400_ms, 2'600_ms));
    CHECK(findRate(rates, targetEntry(startStamp + 1))->perSecond == 2);
}

TEST_CASE("an instance that is no sender may send once nobody hears of the limit any more")
{
    TargetRates rates;
    const std::vector<InstanceId> living = instances(100);
    int senders = 0;
    int later = 0;
    for (const InstanceId &self : living) {
        rates = {};
        recordRate(rates, targetEntry().id, startStamp, 1.5, 0_ms, 0_ms);
        senders += timeUntilSend(rates, targetEntry(), { self, living }, 10'000_ms) ? 1 : 0;
        later += timeUntilSend(rates, targetEntry(), { self, living }, rateStaleTime) ? 1 : 0;
    }
    CHECK(senders == 3);
    CHECK(later == 100);
}

TEST_CASE("rates out of range are bounded")
{
    TargetRates rates;
    const std::vector<InstanceId> living = instances(2);
    const TargetId id = targetEntry().id;
    for (const double perSecond : { 0.0, -3.0, 1e300, std::numeric_limits<double>::infinity() }) {
        CAPTURE(perSecond);
        recordRate(rates, id, startStamp, perSecond, 0_ms, 0_ms);
        const double used = findRate(rates, targetEntry())->perSecond;
        CHECK(used >= minRate * 0.99);
        CHECK(used <= maxRate);
        CHECK(timeUntilSend(rates, targetEntry(), { living[0], living }, 60'000_ms)
              == Milliseconds());
    }
}

TEST_CASE("limits of targets that are gone are removed")
{
    TargetRates rates;
    fleet::TargetTable table;
    recordRate(rates, targetEntry().id, startStamp, 1, 0_ms, 0_ms);
    removeOutdated(rates, table, endedRateLifetime - 1_ms);
    CHECK(rates.byTarget.size() == 1); // it may be listed again
    removeOutdated(rates, table, endedRateLifetime);
    CHECK(rates.byTarget.empty());
    fleet::applyEntry(table, targetEntry(), 0_ms);
    recordRate(rates, targetEntry().id, startStamp, 1, 0_ms, 0_ms);
    removeOutdated(rates, table, endedRateLifetime * 10);
    CHECK(rates.byTarget.size() == 1);
    fleet::applyEntry(table, targetEntry(startStamp + 1), 0_ms);
    removeOutdated(rates, table, endedRateLifetime * 10);
    CHECK(rates.byTarget.empty());
}
