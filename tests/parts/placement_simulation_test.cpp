#include <doctest/doctest.h>

#include "placement_simulation.h"

using namespace egretmount;

namespace {

constexpr int engines = 20;
constexpr std::size_t shortKind = 0;
constexpr std::size_t middleKind = 1;
constexpr std::size_t longKind = 2;
constexpr double warmUpMs = 3'000;

// Several plays one after the other: a span holds some ten long prompts, too few for a share.
constexpr std::uint64_t seeds = 6;

std::vector<model::Served> playUsual(const model::Rates &rates, double lengthMs,
                                     model::Policy policy)
{
    std::vector<model::Served> all;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::vector<model::Served> one = model::play(
            model::usualSpeed(), engines, model::usualKinds(), rates, lengthMs, policy, seed);
        all.insert(all.end(), one.begin(), one.end());
    }
    return all;
}

double inTime(const std::vector<model::Served> &served, std::size_t kind, double fromMs,
              double toMs)
{
    return model::shareInTime(served, model::usualKinds(), kind, fromMs, toMs);
}

model::Rates steady(double shortRate, double middleRate, double longRate)
{
    return [=](std::size_t kind, double) {
        return kind == shortKind ? shortRate : kind == middleKind ? middleRate : longRate;
    };
}

} // namespace

TEST_CASE("pattern: a mixed load at two fifths of the fleet; nobody waits for somebody else")
{
    const std::vector<model::Served> served =
        playUsual(steady(40, 2, 1), 15'000, model::Policy::Planner);
    CHECK(inTime(served, shortKind, warmUpMs, 15'000) >= 0.97);
    CHECK(inTime(served, middleKind, warmUpMs, 15'000) >= 0.9);
    CHECK(inTime(served, longKind, warmUpMs, 15'000) >= 0.8);
}

TEST_CASE("pattern: a wave of long prompts beside few short requests; the short ones stay in time")
{
    const model::Rates wave = steady(14, 3, 3);
    const std::vector<model::Served> planned = playUsual(wave, 12'000, model::Policy::Planner);
    const std::vector<model::Served> simple = playUsual(wave, 12'000, model::Policy::LeastInHand);
    CHECK(inTime(planned, shortKind, warmUpMs, 12'000) >= 0.9);
    CHECK(inTime(planned, shortKind, warmUpMs, 12'000)
          > inTime(simple, shortKind, warmUpMs, 12'000));
    CHECK(inTime(planned, longKind, warmUpMs, 12'000) > inTime(simple, longKind, warmUpMs, 12'000));
}

TEST_CASE("pattern: a wave of long prompts turns into one of short requests; the lane follows "
          "within two seconds")
{
    const model::Rates turn = [](std::size_t kind, double now) {
        const bool isLongWave = now < 10'000;
        switch (kind) {
        case shortKind:
            return isLongWave ? 14.0 : 110.0;
        case middleKind:
            return isLongWave ? 3.0 : 1.2;
        default:
            return isLongWave ? 2.5 : 0.1;
        }
    };
    const std::vector<model::Served> served = playUsual(turn, 16'000, model::Policy::Planner);
    CHECK(inTime(served, shortKind, 12'000, 16'000) >= 0.9);
}

TEST_CASE("pattern: more long prompts than the fleet can read; what is taken is mostly in time")
{
    const std::vector<model::Served> served =
        playUsual(steady(14, 3, 6), 15'000, model::Policy::Planner);
    CHECK(inTime(served, shortKind, warmUpMs, 15'000) >= 0.9);
    int taken = 0;
    int takenInTime = 0;
    for (const model::Served &one : served) {
        if (one.kind != longKind || one.arrivedAt < warmUpMs || one.isRefused)
            continue;
        ++taken;
        takenInTime += one.isComplete && one.firstEventMs <= 3'000 ? 1 : 0;
    }
    CHECK(taken > 0);
    CHECK(takenInTime * 2 >= taken);
    // Middle prompts pass the very long ones.
    CHECK(model::shareServed(served, middleKind, warmUpMs, 15'000) >= 0.9);
}

TEST_CASE("pattern: prompts beyond one engine's memory at a quiet time; they complete")
{
    const std::vector<model::Kind> kinds { { 600'000, 0.05, 19, 4'000, 1'000 } };
    const std::vector<model::Served> served = model::play(
        model::usualSpeed(), engines, kinds, [](std::size_t, double) { return 0.1; }, 40'000,
        model::Policy::Planner, 3);
    REQUIRE(!served.empty());
    CHECK(model::shareServed(served, 0, 0, 40'000) >= 0.75);
}
