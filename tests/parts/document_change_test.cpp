#include <doctest/doctest.h>

#include <egretmount/config/diff.h>
#include <egretmount/config/edit.h>
#include <egretmount/config/review.h>

using namespace egretmount;
using namespace egretmount::config;

namespace {

const std::string twoZones = "[fleet]\nversion=4\n[zone.a]\n[zone.b]\n[service.llm]\n"
                             "[target.one]\nservice=llm\nzone=a\naddress=127.0.0.1:1\ntokens=9\n"
                             "[target.two]\nservice=llm\nzone=b\naddress=127.0.0.1:2\ntokens=9\n";

FleetDocument parse(const std::string &text)
{
    const tl::expected<FleetDocument, std::vector<Problem>> document =
        parseFleetDocument(text, "fleet.ini");
    REQUIRE(document);
    return *document;
}

std::vector<std::string> describeAll(const std::string &before, const std::string &after)
{
    std::vector<std::string> lines;
    for (const Change &change : diff(*readIni(before), *readIni(after)))
        lines.push_back(describe(change));
    return lines;
}

} // namespace

TEST_CASE("taking an availability zone out of service creates the next version of the document")
{
    const tl::expected<std::string, Problem> next = withState(twoZones, "a", true);
    REQUIRE(next);
    CHECK(describeAll(twoZones, *next)
          == std::vector<std::string> { "~ [fleet] version: 4 -> 5", "+ [zone.a] state=out" });

    SUBCASE("putting it back into service creates a higher version with the zone active")
    {
        const FleetDocument back = parse(*withState(*next, "a", false));
        CHECK(back.version == 6);
        CHECK(acceptsNewWork(back, back.targets.front()));
    }
    SUBCASE("the review shows the remaining capacity and warns of the loss")
    {
        const Review result = review(parse(twoZones), parse(*next));
        REQUIRE(result.services.size() == 1);
        CHECK(result.services.front().targetsBefore == 2);
        CHECK(result.services.front().targetsAfter == 1);
        CHECK(result.isSafe());
        CHECK(result.findings.front().severity == Severity::Warning);
    }
    SUBCASE("the review refuses to take the last zone out of service")
    {
        const tl::expected<std::string, Problem> none = withState(*next, "b", true);
        CHECK_FALSE(review(parse(*next), parse(*none)).isSafe());
    }
    SUBCASE("the review refuses a version that is not higher")
    {
        CHECK_FALSE(review(parse(*next), parse(twoZones)).isSafe());
    }
    SUBCASE("an unknown name gives a problem")
    {
        CHECK_FALSE(withState(twoZones, "nowhere", true));
    }
}

TEST_CASE("diff ignores the order of sections and redacts token hashes")
{
    const std::string reordered = "[zone.b]\n[zone.a]\n[fleet]\nversion=4\n";
    CHECK(describeAll("[fleet]\nversion=4\n[zone.a]\n[zone.b]\n", reordered).empty());
    CHECK(describeAll("[team.x]\ntokenHash=1\n", "[team.x]\ntokenHash=2\n").front()
          == "~ [team.x] tokenHash: (hash) -> (hash)");
    CHECK(describeAll("[zone.a]\n", "[zone.b]\n")
          == std::vector<std::string> { "- [zone.a]", "+ [zone.b]" });
}
