#include <Poco/Exception.h>
#include <doctest/doctest.h>

#include "support/closing_server.h"
#include "support/fleet.h"
#include "support/once_client.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

void post(const std::string &address)
{
    Poco::Net::HTTPRequest request("POST", "/v1/calls/app/approve", "HTTP/1.1");
    http::fetch(address, request, "{}", 1'000_ms);
}

// A client as the broken form of ours: it sends again when the connection breaks.
void postAndResend(const std::string &address)
{
    try {
        post(address);
    } catch (const Poco::Exception &) {
        post(address);
    }
}

} // namespace

TEST_CASE("a request on a connection that closes after it is not sent a second time")
{
    FleetOptions options;
    options.engines = 0;
    options.plainTargets = 1;
    options.plainServiceKeys = "calls=once\n";
    Fleet fleet(options);
    fleet.waitReady();
    fleet.plain(0).kill();
    const ClosingServer server(fleet.plainAddress(0));

    SUBCASE("by the client itself")
    {
        post(fleet.plainAddress(0));
        CHECK_THROWS_AS(post(fleet.plainAddress(0)), Poco::Exception);
        CHECK(server.requests() == 2);
    }
    SUBCASE("by an instance")
    {
        CHECK(callOnce(fleet, 0, takeTicket(fleet, 0), "first").verdict == "ran");
        const CallReport report = callOnce(fleet, 0, takeTicket(fleet, 0), "second");
        CHECK(report.status == 502);
        CHECK(report.verdict == "may have run");
        CHECK(server.requests() == 2);
    }
    SUBCASE("and a client that resends is seen")
    {
        post(fleet.plainAddress(0));
        CHECK_THROWS_AS(postAndResend(fleet.plainAddress(0)), Poco::Exception);
        CHECK(server.requests() == 3);
    }
}
