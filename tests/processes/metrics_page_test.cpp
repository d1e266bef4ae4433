#include <doctest/doctest.h>

#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

bool hasLine(const std::string &text, const std::string &line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("metrics page counts what an instance served and refused")
{
    Fleet fleet({});
    fleet.waitReady();
    REQUIRE(load::complete(fleet.request(0, "one", 500, 5)).isComplete);
    load::CallerRequest unknown = fleet.request(0, "two");
    unknown.token = "wrong";
    REQUIRE(load::complete(unknown).error == "unauthenticated");

    std::string text;
    const auto isCounted = [&fleet, &text] {
        text = fleet.fetchText(fleet.entryAddress(0), "/metrics");
        return hasLine(text, "egretmount_verdicts_total{verdict=\"ran\"} 1")
               && hasLine(text, "egretmount_verdicts_total{verdict=\"not run\"} 1");
    };
    CHECK(waitUntil(isCounted, 2'000_ms));
    CHECK(hasLine(text, "egretmount_errors_total{error=\"unauthenticated\"} 1"));
    CHECK(hasLine(text, "egretmount_length_first_token_seconds_count{length=\"short\"} 1"));
    CHECK(hasLine(text, "egretmount_length_between_tokens_seconds_count{length=\"short\"} 4"));
    CHECK(hasLine(text, "egretmount_team_total_seconds_count{team=\"testers\"} 1"));
    CHECK(hasLine(text, "egretmount_team_queueing_seconds_count{team=\"testers\"} 1"));
    CHECK(hasLine(text, "egretmount_retries_total 0"));
    CHECK(hasLine(text, "egretmount_config_version 1"));
    CHECK(text.find("wrong") == std::string::npos);
    CHECK(text.find(Fleet::token) == std::string::npos);
}
