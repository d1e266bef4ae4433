#include <doctest/doctest.h>

#include <egretmount/config/adoption.h>
#include <egretmount/config/chunks.h>
#include <egretmount/core/random.h>

using namespace egretmount;
using namespace egretmount::config;

namespace {

constexpr std::size_t instances = 4;
constexpr int events = 40;

enum class Variant {
    Correct,
    AcceptsLowerVersion, ///< Faulty on purpose: a lower version replaces a higher one.
};

std::string documentOf(ConfigVersion version, std::uint64_t weight)
{
    std::string text = "[fleet]\nversion=" + std::to_string(version) + "\n[priority.p]\nlevel=1\n";
    for (int i = 0; i < 3; ++i) {
        text += "[team.t" + std::to_string(i) + "]\npriority=p\nweight=" + std::to_string(weight)
                + "\ntokenHash=" + toHex(sha256(std::to_string(i))) + "\n";
    }
    return text;
}

/// Random schedule of several instances, a platform that may serve an outdated document, and
/// messages that are delayed, duplicated or lost.
class Schedule
{
public:
    Schedule(std::uint64_t seed, Variant variant)
        : m_random(seed)
        , m_variant(variant)
    { }

    /// Returns true if the version in force never decreased between restarts of an instance.
    bool run()
    {
        for (int i = 0; i < events; ++i)
            step();
        return !m_hasVersionDecreased;
    }

    /// Lets all instances exchange their documents; returns true if they end with the same one.
    bool converges()
    {
        for (int round = 0; round < 2; ++round) {
            for (std::size_t from = 0; from < instances; ++from) {
                for (std::size_t to = 0; to < instances; ++to)
                    receive(to, m_states[from].text);
            }
        }
        for (const ConfigState &state : m_states) {
            if (state.text != m_states[0].text)
                return false;
        }
        return !m_hasVersionDecreased;
    }

private:
    void step()
    {
        const std::size_t instance = m_random.below(instances);
        switch (m_random.below(8)) {
        case 0: // may publish another text of the same version, as after restoring a backup
            m_version += m_random.below(2);
            m_platform = documentOf(m_version, 1 + m_random.below(3));
            m_published.push_back(m_platform);
            break;
        case 1: // the platform serves an outdated document from now on
            if (!m_published.empty())
                m_platform = m_published[m_random.below(m_published.size())];
            break;
        case 2:
            m_states[instance] = ConfigState();
            break;
        case 3:
        case 4:
            receive(instance, m_platform);
            break;
        case 5:
            m_messages.push_back(m_states[instance].text);
            break;
        default: // keeps the message, so that it may be delivered again
            if (!m_messages.empty())
                receive(instance, m_messages[m_random.below(m_messages.size())]);
            break;
        }
    }

    void receive(std::size_t to, const std::string &text)
    {
        ConfigState &state = m_states[to];
        std::vector<std::uint64_t> receiverHashes;
        for (const Chunk &chunk : splitIntoChunks(state.text))
            receiverHashes.push_back(chunk.hash);
        const std::optional<std::string> rebuilt =
            applyDelta(state.text, makeDelta(text, receiverHashes), sha256(text));
        const ConfigVersion before = state.document ? state.document->version : 0;
        if (m_variant == Variant::AcceptsLowerVersion)
            state.document = nullptr;
        offer(state, rebuilt.value_or(""), Milliseconds());
        const ConfigVersion after = state.document ? state.document->version : 0;
        m_hasVersionDecreased = m_hasVersionDecreased || after < before;
    }

    Random m_random;
    Variant m_variant;
    std::vector<ConfigState> m_states { instances };
    ConfigVersion m_version = 1;
    std::string m_platform = documentOf(1, 1);
    std::vector<std::string> m_published;
    std::vector<std::string> m_messages;
    bool m_hasVersionDecreased = false;
};

} // namespace

TEST_CASE("config: versions are monotonic and all instances converge in 3,000 seeded schedules")
{
    for (std::uint64_t seed = 1; seed <= 3'000; ++seed) {
        CAPTURE(seed);
        Schedule schedule(seed, Variant::Correct);
        REQUIRE(schedule.run());
        REQUIRE(schedule.converges());
    }
}

TEST_CASE("config: the schedules detect a variant that accepts lower versions")
{
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        found += Schedule(seed, Variant::AcceptsLowerVersion).run() ? 0 : 1;
    CHECK(found > 50);
}
