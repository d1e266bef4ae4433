#include <doctest/doctest.h>

#include <egretmount/config/chunks.h>
#include <egretmount/config/polling.h>
#include <egretmount/core/random.h>

using namespace egretmount;
using namespace egretmount::config;
using namespace egretmount::literals;

namespace {

std::string teamSection(int number, std::uint64_t weight)
{
    return "[team.team-" + std::to_string(number) + "]\npriority=normal\nweight="
           + std::to_string(weight) + "\ntokenHash=" + toHex(sha256(std::to_string(number))) + "\n";
}

std::string documentOf(const std::vector<std::uint64_t> &weights, int version)
{
    std::string text = "[fleet]\nversion=" + std::to_string(version) + "\n";
    for (std::size_t i = 0; i < weights.size(); ++i)
        text += teamSection(static_cast<int>(i), weights[i]);
    return text;
}

DocumentDelta deltaBetween(const std::string &from, const std::string &to)
{
    std::vector<std::uint64_t> receiverHashes;
    for (const Chunk &chunk : splitIntoChunks(from))
        receiverHashes.push_back(chunk.hash);
    return makeDelta(to, receiverHashes);
}

std::size_t deltaBytes(const std::string &from, const DocumentDelta &delta)
{
    constexpr std::size_t bytesPerKnownHash = 16;
    std::size_t bytes = splitIntoChunks(from).size() * bytesPerKnownHash;
    bytes += delta.chunkHashes.size() * sizeof(std::uint64_t);
    for (const std::string &text : delta.missingChunks)
        bytes += text.size();
    return bytes;
}

} // namespace

TEST_CASE("config chunks: a delta between any two documents rebuilds the second one")
{
    Random random(7);
    std::string present = documentOf({}, 1);
    for (int version = 2; version < 300; ++version) {
        std::vector<std::uint64_t> weights(random.below(120));
        for (std::uint64_t &weight : weights)
            weight = 1 + random.below(3);
        const std::string next = documentOf(weights, version);
        const std::optional<std::string> rebuilt =
            applyDelta(present, deltaBetween(present, next), sha256(next));
        REQUIRE(rebuilt);
        CHECK(*rebuilt == next);
        present = next;
    }
}

TEST_CASE("config chunks: a delta with a wrong digest or a missing chunk is rejected")
{
    const std::string from = documentOf(std::vector<std::uint64_t>(200, 1), 1);
    const std::string to = documentOf(std::vector<std::uint64_t>(200, 2), 2);
    DocumentDelta delta = deltaBetween(from, to);
    CHECK_FALSE(applyDelta(from, delta, sha256(from)));
    delta.missingChunks.pop_back();
    CHECK_FALSE(applyDelta(from, delta, sha256(to)));
    CHECK_FALSE(applyDelta("", deltaBetween(from, to + teamSection(200, 1)), sha256(to)));
}

TEST_CASE("config chunks: the delta for one of 7,500 teams is under a twentieth of the document")
{
    std::vector<std::uint64_t> weights(7'500, 1);
    const std::string from = documentOf(weights, 1);
    weights[3'000] = 9;
    const std::string to = documentOf(weights, 2);
    const DocumentDelta delta = deltaBetween(from, to);
    const std::size_t bytes = deltaBytes(from, delta);
    MESSAGE("whole=" << to.size() << " update=" << bytes << " chunks=" << delta.chunkHashes.size()
                     << " changed=" << delta.missingChunks.size());
    CHECK(delta.missingChunks.size() == 2); // the chunk of the version and the chunk of the team
    CHECK(bytes * 20 < to.size());
}

TEST_CASE("config polling: watchers long-poll, other instances read after the fallback delay")
{
    Random random(1);
    PollState state;
    CHECK(nextStep(state, false, 0_ms) == PollStep::Read);
    recordRead(state, 1'000_ms, random);
    CHECK(nextStep(state, true, 1'001_ms) == PollStep::Watch);
    CHECK(nextStep(state, false, 1'000_ms + fallbackDelay - 1_ms) == PollStep::Wait);
    CHECK(nextStep(state, false, 1'000_ms + fallbackDelay + fallbackJitter) == PollStep::Read);
    recordRead(state, 500_ms, random);
    CHECK(state.lastReadAt == 1'000_ms);
    recordFailedRead(state, 30'000_ms, random);
    CHECK(nextStep(state, false, 30'000_ms + fallbackDelay - 1_ms) == PollStep::Wait);
    CHECK(listInterval(8) == 1'000_ms);
    CHECK(listInterval(400) == 8'000_ms);
}
