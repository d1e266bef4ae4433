#include <csignal>
#include <thread>

#include <doctest/doctest.h>

#include "http/headers.h"
#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

std::unique_ptr<http::Reply> post(const Fleet &fleet, const std::string &path,
                                  const std::string &body, const std::string &token = Fleet::token)
{
    Poco::Net::HTTPRequest request("POST", path, "HTTP/1.1");
    request.set("Authorization", "Bearer " + token);
    return http::fetch(fleet.entryAddress(0), request, body, 5'000_ms);
}

std::string verdictOf(const http::Reply &reply)
{
    return reply.response.get(http::verdictHeader, "");
}

} // namespace

TEST_CASE("a request goes through the whole path")
{
    FleetOptions options;
    options.plainTargets = 1;
    Fleet fleet(options);
    fleet.waitReady();

    SUBCASE("a completion is streamed whole")
    {
        const load::CallerResult result = load::complete(fleet.request(1, "one"));
        CHECK(result.status == 200);
        CHECK(result.isComplete);
        CHECK(result.tokens.size() == 20);
        CHECK(result.verdict == "ran");
    }
    SUBCASE("a plain call is answered")
    {
        const std::unique_ptr<http::Reply> reply = post(fleet, "/v1/calls/app/status", "{}");
        CHECK(reply->status() == 200);
        CHECK(verdictOf(*reply) == "ran");
    }
    SUBCASE("bad input is refused and has not run")
    {
        CHECK(post(fleet, "/v1/completions", "{")->status() == 400);
        CHECK(post(fleet, "/v1/completions", R"({"model":"llm","prompt":7})")->status() == 400);
        CHECK(post(fleet, "/v1/completions", "{}", "wrong")->status() == 400);
        const std::string unknownService = R"({"model":"none","prompt":"a question"})";
        CHECK(post(fleet, "/v1/completions", unknownService)->status() == 404);
        const std::unique_ptr<http::Reply> stranger =
            post(fleet, "/v1/completions", R"({"model":"llm","prompt":"a"})", "wrong");
        CHECK(stranger->status() == 401);
        CHECK(verdictOf(*stranger) == "not run");
        CHECK(post(fleet, "/v1/nothing", "")->status() == 404);
        CHECK(load::complete(fleet.request(0, "still-alive")).isComplete);
    }
    SUBCASE("a killed engine's streams go on elsewhere without gap or repeat")
    {
        load::CallerRequest request = fleet.request(0, "survivor", 500, 300);
        load::CallerResult result;
        std::thread caller([&] { result = load::complete(request); });
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        const std::string load = fleet.fetchText(fleet.engineAddress(0), "/v1/stats");
        const int busy = load.find("\"slots\":1") != std::string::npos ? 0 : 1;
        fleet.engine(busy).kill();
        caller.join();
        CHECK(result.isComplete);
        CHECK(result.tokens.size() == 300);
    }
}
