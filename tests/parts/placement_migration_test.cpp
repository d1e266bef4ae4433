#include <doctest/doctest.h>

#include <egretmount/placement/migration.h>

using namespace egretmount;
using placement::StalledStream;

TEST_CASE("streams migrate away from engines that prefill a giant prompt")
{
    // Six engines prefill the shards of a prompt of 400,000 tokens for 2.6 s each. The clients of
    // the streams there disconnect after 2 s without an event.
    const StalledStream stream { 30, 2'000 };
    CHECK(placement::shouldMigrate(stream, 2'650, 110));
    CHECK(placement::shouldMigrate(stream, 1'900, 110));
}

TEST_CASE("a stream that a long prefill only delays is not migrated")
{
    const StalledStream stream { 30, 2'000 };
    CHECK_FALSE(placement::shouldMigrate(stream, 600, 110));
    CHECK_FALSE(placement::shouldMigrate(stream, 1'000, 110));
    // The client of a long prompt has a longer timeout.
    CHECK_FALSE(placement::shouldMigrate({ 30, 16'000 }, 2'650, 110));
}

TEST_CASE("a stream is not migrated if its client would disconnect there as well")
{
    CHECK_FALSE(placement::shouldMigrate({ 30, 2'000 }, 2'650, 2'100));
    CHECK_FALSE(placement::shouldMigrate({ 1'900, 2'000 }, 2'650, 110));
}
