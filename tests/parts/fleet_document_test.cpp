#include <doctest/doctest.h>

#include <egretmount/config/adoption.h>
#include <egretmount/config/document.h>

using namespace egretmount;
using namespace egretmount::config;

namespace {

const std::string tokenHash(64, 'a');

std::string smallDocument(int version)
{
    return "[fleet]\nversion=" + std::to_string(version)
           + "\n[zone.wien-a]\n[service.egret-llm]\n[target.engine-1]\nservice=egret-llm\n"
             "zone=wien-a\naddress=127.0.0.1:9001\ntokens=100\n[priority.counter]\nlevel=1\n"
             "[team.dealers]\npriority=counter\ntokenHash="
           + tokenHash + "\n";
}

std::string firstProblem(const std::string &text)
{
    const tl::expected<FleetDocument, std::vector<Problem>> document =
        parseFleetDocument(text, "fleet.ini");
    return document ? "" : describe(document.error().front());
}

} // namespace

TEST_CASE("a valid fleet document is parsed")
{
    const tl::expected<FleetDocument, std::vector<Problem>> document =
        parseFleetDocument(smallDocument(3), "fleet.ini");
    REQUIRE(document);
    CHECK(document->version == 3);
    CHECK(findTarget(*document, TargetId("engine-1"))->capacity.tokens == 100);
    CHECK(findTeam(*document, TeamId("nobody")) == nullptr);
    CHECK(acceptsNewWork(*document, document->targets.front()));
}

TEST_CASE("an invalid fleet document is rejected with the section, key and value at fault")
{
    const std::string valid = smallDocument(1);
    SUBCASE("unknown key")
    {
        CHECK(firstProblem(valid + "wieght=2\n")
              == "fleet.ini: [team.dealers] wieght=2: expected a known name; the nearest is "
                 "'weight'");
    }
    SUBCASE("value out of range")
    {
        CHECK(firstProblem(valid + "weight=0\n")
              == "fleet.ini: [team.dealers] weight=0: expected an integer from 1 to 10000");
    }
    SUBCASE("unknown service")
    {
        CHECK(firstProblem(valid
                           + "[target.engine-2]\nservice=none\nzone=wien-a\n"
                             "address=127.0.0.1:9002\ntokens=1\n")
              == "fleet.ini: [target.engine-2] service=none: expected a service of this file");
    }
    SUBCASE("text that is not INI")
    {
        CHECK(firstProblem("[fleet]\nversion=1\n[zone.a]\nnonsense\n").find("line 4")
              != std::string::npos);
        CHECK(firstProblem("[fleet\nversion=1\n").find("INI text") != std::string::npos);
        CHECK(firstProblem("version=1\n").find("before the first section") != std::string::npos);
    }
    SUBCASE("all problems are reported at once")
    {
        const tl::expected<FleetDocument, std::vector<Problem>> document =
            parseFleetDocument(valid + "weight=0\nnone=1\n", "fleet.ini");
        REQUIRE_FALSE(document);
        CHECK(document.error().size() == 2);
    }
}

TEST_CASE("the document with the highest version is adopted")
{
    ConfigState state;
    CHECK(offer(state, smallDocument(2), Milliseconds(1)).adoption == Adoption::Adopted);
    CHECK(offer(state, smallDocument(1), Milliseconds(2)).adoption == Adoption::Older);
    CHECK(offer(state, smallDocument(2), Milliseconds(3)).adoption == Adoption::Same);
    CHECK(offer(state, "nonsense", Milliseconds(4)).adoption == Adoption::Invalid);
    CHECK(state.document->version == 2);

    SUBCASE("of two texts with the same version, the one with the higher digest is adopted")
    {
        const std::string other = smallDocument(2) + "weight=5\n";
        ConfigState reversed;
        offer(reversed, other, Milliseconds(1));
        offer(reversed, smallDocument(2), Milliseconds(2));
        offer(state, other, Milliseconds(5));
        CHECK(state.text == reversed.text);
    }
}
