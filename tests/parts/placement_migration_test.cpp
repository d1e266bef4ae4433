#include <doctest/doctest.h>

#include <egretmount/placement/migration.h>

using namespace egretmount;
using placement::StalledStream;

TEST_CASE("giant prompt beside writers: streams leave the engines that read it")
{
    // The pattern: a prompt of 400,000 tokens is read by six engines for 2.6 s each. The callers of
    // the streams there leave after 2 s without an event.
    const StalledStream stream { 30, 2'000 };
    CHECK(placement::shouldMigrate(stream, 2'650, 110));
    CHECK(placement::shouldMigrate(stream, 1'900, 110));
}

TEST_CASE("long prompt beside writers: a stream that is only late stays")
{
    const StalledStream stream { 30, 2'000 };
    CHECK_FALSE(placement::shouldMigrate(stream, 600, 110));
    CHECK_FALSE(placement::shouldMigrate(stream, 1'000, 110));
    // A long prompt's own caller waits for longer.
    CHECK_FALSE(placement::shouldMigrate({ 30, 16'000 }, 2'650, 110));
}

TEST_CASE("a stream does not move to where it would be abandoned as well")
{
    CHECK_FALSE(placement::shouldMigrate({ 30, 2'000 }, 2'650, 2'100));
    CHECK_FALSE(placement::shouldMigrate({ 1'900, 2'000 }, 2'650, 110));
}
