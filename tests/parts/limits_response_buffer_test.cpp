#include <doctest/doctest.h>

#include <egretmount/limits/response_buffer.h>

using namespace egretmount::limits;

// Guards against many slow callers whose responses exceed the memory of an instance.
TEST_CASE("the buffered parts of all responses take a share of the memory")
{
    CHECK(responseBuffer(260, 0) == maxResponseBuffer);
    CHECK(responseBuffer(260, 10) == maxResponseBuffer);
    CHECK(responseBuffer(260, 1'000) == 54'525);
    CHECK(responseBuffer(112, 4'000) == minResponseBuffer);
    CHECK(responseBuffer(std::nullopt, 4'000) == maxResponseBuffer);
    CHECK(responseBuffer(1e300, 1) == maxResponseBuffer);
    CHECK(responseBuffer(1e-300, 1) == minResponseBuffer);
    for (std::size_t requests = 1; requests < 1'600; requests *= 2) {
        CAPTURE(requests);
        CHECK(static_cast<double>(requests * responseBuffer(160, requests))
              <= 160 * 1024 * 1024 * responseMemoryShare);
    }
}
