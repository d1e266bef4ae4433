#include <algorithm>

#include <doctest/doctest.h>

#include <egretmount/core/random.h>
#include <egretmount/stream/reassembly.h>

using namespace egretmount;
using namespace egretmount::stream;

namespace {

constexpr TokenCount length = 50;

// A faulty `accept` that delivers chunks as they arrive, to show that the test detects it.
std::vector<Chunk> acceptUnordered(Reassembly &state, const Chunk &chunk)
{
    state.isComplete = state.isComplete || chunk.isLast;
    return { chunk };
}

// Returns true if a response is delivered completely and in order although its chunks are
// duplicated, reordered and lost until another connection resumes.
template<typename Accept>
bool isWholeAndOrdered(std::uint64_t seed, Accept acceptChunk)
{
    Random random(seed);
    Reassembly state;
    std::vector<TokenCount> out;
    for (int connection = 0; connection < 60 && !state.isComplete; ++connection) {
        resume(state);
        std::vector<TokenCount> offsets;
        for (TokenCount i = state.nextOffset; i < length; ++i) {
            for (std::uint64_t copies = random.below(4); copies > 0; --copies)
                offsets.push_back(i);
        }
        for (std::size_t i = offsets.size(); i > 1; --i)
            std::swap(offsets[i - 1], offsets[random.below(i)]);
        for (const TokenCount offset : offsets) {
            for (const Chunk &ready :
                 acceptChunk(state, Chunk { offset, "", offset == length - 1 }))
                out.push_back(ready.offset);
        }
    }
    for (std::size_t i = 0; i < out.size(); ++i) {
        if (out[i] != static_cast<TokenCount>(i))
            return false;
    }
    return out.size() == static_cast<std::size_t>(length);
}

} // namespace

TEST_CASE("a response is delivered completely and in order for every schedule of its chunks")
{
    int broken = 0;
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        CHECK(isWholeAndOrdered(seed, accept));
        broken += isWholeAndOrdered(seed, acceptUnordered) ? 0 : 1;
    }
    CHECK(broken > 0);
}

TEST_CASE("a stream with too many chunks out of order is marked as overflowed")
{
    Reassembly state;
    const TokenCount limit = static_cast<TokenCount>(maxBufferedChunks);
    for (TokenCount i = 1; i <= limit; ++i)
        accept(state, { i, "", false });
    CHECK(!state.hasOverflowed);
    Reassembly full = state;
    accept(full, { limit + 1, "", false });
    CHECK(full.hasOverflowed);
    // The next chunk is accepted even if the buffer is full.
    CHECK(accept(state, { 0, "", false }).size() == maxBufferedChunks + 1);
}
