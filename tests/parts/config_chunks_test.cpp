#include <doctest/doctest.h>

#include <egretmount/config/chunks.h>
#include <egretmount/config/reading.h>
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

DocumentUpdate updateBetween(const std::string &from, const std::string &to)
{
    std::vector<std::uint64_t> have;
    for (const Chunk &chunk : splitIntoChunks(from))
        have.push_back(chunk.hash);
    return makeUpdate(to, have);
}

std::size_t bytesOfUpdate(const std::string &from, const DocumentUpdate &update)
{
    constexpr std::size_t bytesPerKnownHash = 16;
    std::size_t bytes = splitIntoChunks(from).size() * bytesPerKnownHash;
    bytes += update.order.size() * sizeof(std::uint64_t);
    for (const std::string &text : update.changed)
        bytes += text.size();
    return bytes;
}

} // namespace

TEST_CASE("config chunks rebuild any document from any other")
{
    Random random(7);
    std::string present = documentOf({}, 1);
    for (int version = 2; version < 300; ++version) {
        std::vector<std::uint64_t> weights(random.below(120));
        for (std::uint64_t &weight : weights)
            weight = 1 + random.below(3);
        const std::string next = documentOf(weights, version);
        const std::optional<std::string> rebuilt =
            applyUpdate(present, updateBetween(present, next), sha256(next));
        REQUIRE(rebuilt);
        CHECK(*rebuilt == next);
        present = next;
    }
}

TEST_CASE("config chunks of another document or with a loss are refused")
{
    const std::string from = documentOf(std::vector<std::uint64_t>(200, 1), 1);
    const std::string to = documentOf(std::vector<std::uint64_t>(200, 2), 2);
    DocumentUpdate update = updateBetween(from, to);
    CHECK_FALSE(applyUpdate(from, update, sha256(from)));
    update.changed.pop_back();
    CHECK_FALSE(applyUpdate(from, update, sha256(to)));
    CHECK_FALSE(applyUpdate("", updateBetween(from, to + teamSection(200, 1)), sha256(to)));
}

TEST_CASE("config chunks of one changed team among 7,500 are a small part of the document")
{
    std::vector<std::uint64_t> weights(7'500, 1);
    const std::string from = documentOf(weights, 1);
    weights[3'000] = 9;
    const std::string to = documentOf(weights, 2);
    const DocumentUpdate update = updateBetween(from, to);
    const std::size_t bytes = bytesOfUpdate(from, update);
    MESSAGE("whole=" << to.size() << " update=" << bytes << " chunks=" << update.order.size()
                     << " changed=" << update.changed.size());
    CHECK(update.changed.size() == 2); // the version's and the team's
    CHECK(bytes * 20 < to.size());
}

TEST_CASE("config reading: only watchers read while they report, others after a silence")
{
    Random random(1);
    ReadingState state;
    CHECK(nextStep(state, false, 0_ms) == ReadStep::Read);
    noteRead(state, 1'000_ms, random);
    CHECK(nextStep(state, true, 1'001_ms) == ReadStep::Watch);
    CHECK(nextStep(state, false, 1'000_ms + fallbackSilence - 1_ms) == ReadStep::Wait);
    CHECK(nextStep(state, false, 1'000_ms + fallbackSilence + fallbackJitter) == ReadStep::Read);
    noteRead(state, 500_ms, random);
    CHECK(state.confirmedAt == 1'000_ms);
    noteFailedRead(state, 30'000_ms, random);
    CHECK(nextStep(state, false, 30'000_ms + fallbackSilence - 1_ms) == ReadStep::Wait);
    CHECK(listInterval(8) == 1'000_ms);
    CHECK(listInterval(400) == 8'000_ms);
}
