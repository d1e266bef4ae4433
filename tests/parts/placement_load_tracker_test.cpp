#include <doctest/doctest.h>

#include <egretmount/placement/demand_rate.h>
#include <egretmount/placement/load_tracker.h>

using namespace egretmount;
using namespace egretmount::literals;
using placement::Ledger;
using placement::Work;

namespace {

Work work(std::uint64_t id, std::vector<placement::EngineKey> engines, double partMs,
          Milliseconds placedAt)
{
    Work made;
    made.id = id;
    made.owner = "a";
    made.engines = std::move(engines);
    made.partMs = partMs;
    made.placedAt = placedAt;
    made.expiresAt = placedAt + 60'000_ms;
    return made;
}

} // namespace

TEST_CASE("an engine's backlog is what was placed there and is not read")
{
    Ledger ledger;
    CHECK(placement::readingBacklog(ledger, 1, 0_ms) == 0);
    placement::addWork(ledger, work(1, { 1, 2 }, 500, 0_ms));
    placement::addWork(ledger, work(2, { 1 }, 300, 0_ms));
    CHECK(placement::readingBacklog(ledger, 1, 0_ms)
          == doctest::Approx(800 + placement::transitTime.count()));
    CHECK(placement::readingBacklog(ledger, 2, 400_ms)
          == doctest::Approx(100 + placement::transitTime.count()));
}

TEST_CASE("an observed first event corrects the backlog once, not once for each work behind it")
{
    Ledger ledger;
    for (std::uint64_t id = 1; id <= 4; ++id)
        placement::addWork(ledger, work(id, { 1 }, 100, 0_ms));
    placement::noteWriting(ledger, 1, 300_ms); // 200 ms late
    CHECK(placement::readingBacklog(ledger, 1, 300_ms)
          == doctest::Approx(300 * placement::writingSlowdown));
    placement::noteWriting(ledger, 2, 412_ms);
    placement::noteWriting(ledger, 3, 524_ms);
    CHECK(placement::readingBacklog(ledger, 1, 524_ms)
          == doctest::Approx(100 * placement::writingSlowdown).epsilon(0.02));
    placement::noteWriting(ledger, 4, 636_ms);
    CHECK(placement::readingBacklog(ledger, 1, 636_ms) == 0);
}

TEST_CASE("a prompt that one engine reads alone and has not begun to answer is still to be read")
{
    Ledger ledger;
    placement::addWork(ledger, work(1, { 1 }, 100, 0_ms));
    placement::addWork(ledger, work(2, { 1 }, 50, 0_ms));
    CHECK(placement::readingBacklog(ledger, 1, 2'000_ms) == doctest::Approx(50));
}

TEST_CASE("a work that ends early takes the rest of its reading with it")
{
    Ledger ledger;
    placement::addWork(ledger, work(1, { 1 }, 1'000, 0_ms));
    placement::addWork(ledger, work(2, { 1 }, 100, 0_ms));
    placement::removeWork(ledger, 1, 204_ms);
    CHECK(placement::readingBacklog(ledger, 1, 204_ms) == doctest::Approx(100));
    CHECK(ledger.works.size() == 1);
}

TEST_CASE("a statement of an owner makes good what was lost")
{
    Ledger ledger;
    placement::addWork(ledger, work(1, { 1 }, 100, 0_ms));
    placement::addWork(ledger, work(2, { 1 }, 100, 0_ms));
    Work other = work(3, { 1 }, 100, 0_ms);
    other.owner = "b";
    placement::addWork(ledger, other);
    placement::addWaiting(ledger, { 4, "a", 100, 10_ms, 60'000_ms });
    placement::keepStated(ledger, "a", { 2 }, 50_ms);
    CHECK(ledger.works.count(1) == 0);
    CHECK(ledger.works.count(2) == 1);
    CHECK(ledger.works.count(3) == 1);
    CHECK(ledger.waiting.empty());
    placement::removeWorksOf(ledger, "b", 60_ms);
    CHECK(ledger.works.count(3) == 0);
}

TEST_CASE("works that nobody waits for any longer are taken out")
{
    Ledger ledger;
    placement::addWork(ledger, work(1, { 1 }, 100, 0_ms));
    placement::removeExpired(ledger, 59'999_ms);
    CHECK(ledger.works.size() == 1);
    placement::removeExpired(ledger, 60'000_ms);
    CHECK(ledger.works.empty());
    CHECK(placement::readingBacklog(ledger, 1, 60'000_ms) == 0);
}

TEST_CASE("the line is ordered by turns that all instances compute alike")
{
    Ledger ledger;
    const Milliseconds longTurn = placement::turnOf(0_ms, 4'000);
    const Milliseconds laterTurn = placement::turnOf(1'000_ms, 1'500);
    placement::addWaiting(ledger, { 1, "a", 4'000, longTurn, 60'000_ms });
    placement::addWaiting(ledger, { 2, "b", 1'500, laterTurn, 60'000_ms });
    CHECK(placement::isFirstInLine(ledger, 2, laterTurn, 1'500));
    CHECK_FALSE(placement::isFirstInLine(ledger, 1, longTurn, 4'000));
    CHECK(placement::readingAhead(ledger, longTurn, 4'000) == doctest::Approx(1'500));
    // Nothing waits for ever: what comes later has its turn later.
    CHECK(placement::turnOf(20'000_ms, 400) > longTurn);
    Work placed = work(2, { 1 }, 1'500, 0_ms);
    placement::addWork(ledger, placed);
    CHECK(placement::isFirstInLine(ledger, 1, longTurn, 4'000));
}

TEST_CASE("a prompt does not wait behind much longer ones")
{
    Ledger ledger;
    placement::addWaiting(ledger, { 1, "a", 10'000, 0_ms, 60'000_ms });
    CHECK(placement::isFirstInLine(ledger, 2, 5'000_ms, 400));
    CHECK(placement::readingAhead(ledger, 5'000_ms, 400) == 0);
    CHECK_FALSE(placement::isFirstInLine(ledger, 2, 5'000_ms, 4'000));
}

TEST_CASE("requests that an engine reports beyond those known count for a while")
{
    Ledger ledger;
    placement::addWork(ledger, work(1, { 7 }, 10, 0_ms));
    placement::noteReport(ledger, 7, 9, 100_ms);
    CHECK(placement::unknownRequests(ledger.engines.at(7), 200_ms) == 8);
    CHECK(placement::unknownRequests(ledger.engines.at(7), 100_ms + placement::reportLife) == 0);
    placement::noteReport(ledger, 7, 0, 300_ms);
    CHECK(placement::unknownRequests(ledger.engines.at(7), 300_ms) == 0);
}

TEST_CASE("an engine that takes twice as long as expected is planned with as slow")
{
    Ledger ledger;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        placement::addWork(ledger, work(id, { 1 }, 100, 0_ms));
        placement::notePace(ledger, id, 100 * ledger.engines.at(1).pace, 200);
        placement::removeWork(ledger, id, 0_ms);
    }
    CHECK(ledger.engines.at(1).pace == doctest::Approx(2).epsilon(0.05));
    for (std::uint64_t id = 21; id <= 50; ++id) {
        placement::addWork(ledger, work(id, { 1 }, 100, 0_ms));
        placement::notePace(ledger, id, 100 * ledger.engines.at(1).pace, 100);
        placement::removeWork(ledger, id, 0_ms);
    }
    CHECK(ledger.engines.at(1).pace == doctest::Approx(1).epsilon(0.05));
}

TEST_CASE("a rate follows a wave within its window")
{
    placement::DemandRate rate;
    Milliseconds now = 10'000_ms;
    for (int i = 0; i < 300; ++i, now += 10_ms)
        placement::noteArrival(rate, 1, now);
    CHECK(placement::currentRate(rate, now) == doctest::Approx(100).epsilon(0.15));
    CHECK(placement::currentRate(rate, now + 3'000_ms) < 20);
}
