#include <doctest/doctest.h>

#include <utility>
#include <vector>

#include <egretmount/limits/body_memory.h>

using namespace egretmount::limits;

namespace {

constexpr std::size_t large = 4'000'000;

std::shared_ptr<BodyMemory> memoryOf(std::size_t limit)
{
    return std::make_shared<BodyMemory>(BodyMemory { limit, 0 });
}

} // namespace

// Guards against a burst of large requests that exceeds the memory of an instance.
TEST_CASE("bodies take no more memory than the limit, and free it at their end")
{
    const std::shared_ptr<BodyMemory> memory = memoryOf(10 * large);
    std::vector<BodyReservation> bodies;
    for (int i = 0; i < 20; ++i) {
        BodyReservation body(memory);
        if (body.cover(large))
            bodies.push_back(std::move(body));
    }
    CHECK(bodies.size() == 7); // a quarter is kept for small bodies
    CHECK(memory->used == 7 * large);
    bodies.pop_back();
    CHECK(memory->used == 6 * large);
    BodyReservation next(memory);
    CHECK(next.cover(large));
    next = {};
    bodies.clear();
    CHECK(memory->used == 0);
}

TEST_CASE("small bodies have memory beside large ones, within the limit")
{
    const std::shared_ptr<BodyMemory> memory = memoryOf(4 * large);
    std::vector<BodyReservation> bodies;
    while (bodies.emplace_back(memory).cover(large)) { }
    const std::size_t usedByLarge = memory->used;
    while (bodies.emplace_back(memory).cover(smallBodyBytes)) { }
    CHECK(memory->used > usedByLarge);
    CHECK(memory->used <= *memory->limit);
}

TEST_CASE("a body that arrives in chunks reserves what it needs in addition")
{
    const std::shared_ptr<BodyMemory> memory = memoryOf(4 * large);
    BodyReservation other(memory);
    REQUIRE(other.cover(large));
    BodyReservation body(memory);
    CHECK(body.cover(large / 2));
    CHECK(body.cover(large / 4));
    CHECK(memory->used == large + large / 2);
    CHECK(body.cover(2 * large));
    CHECK_FALSE(body.cover(3 * large));
    CHECK(memory->used == 3 * large);
}

TEST_CASE("a body above the limit is served alone, and without a known limit all are")
{
    const std::shared_ptr<BodyMemory> memory = memoryOf(large / 4);
    BodyReservation body(memory);
    CHECK(body.cover(large));
    CHECK_FALSE(BodyReservation(memory).cover(1));
    const std::shared_ptr<BodyMemory> unlimited =
        std::make_shared<BodyMemory>(bodyMemory(std::nullopt));
    std::vector<BodyReservation> bodies;
    for (int i = 0; i < 1'000; ++i)
        CHECK(bodies.emplace_back(unlimited).cover(large));
    CHECK(BodyReservation().cover(large));
}

TEST_CASE("the memory for bodies is a part of the instance's memory, whatever is stated")
{
    CHECK(*bodyMemory(260).limit > 100'000'000);
    CHECK(*bodyMemory(260).limit < 130'000'000);
    CHECK(*bodyMemory(1e300).limit > 0);
    CHECK(*bodyMemory(1e300).limit < 1'000'000'000'000'000);
}
