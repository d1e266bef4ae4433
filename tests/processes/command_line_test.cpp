#include <fstream>
#include <iterator>

#include <doctest/doctest.h>

#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

struct Run
{
    int exitCode = 0;
    std::string output;
};

Run run(const Fleet &fleet, const std::vector<std::string> &arguments)
{
    static int count = 0;
    const std::string log = fleet.folder() + "/cli-" + std::to_string(count++) + ".log";
    Process process("egretmount", arguments, log);
    Run result;
    result.exitCode = process.wait();
    std::ifstream stream(log);
    result.output.assign(std::istreambuf_iterator<char>(stream), {});
    return result;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("the command line tells operators about a running fleet")
{
    Fleet fleet({});
    fleet.waitReady();
    const std::string address = fleet.entryAddress(0);

    const Run status = run(fleet, { "status", address });
    CHECK(status.exitCode == 0);
    CHECK(contains(status.output, "entry-2"));
    CHECK(contains(status.output, "engine-1"));
    CHECK(contains(run(fleet, { "status", address, "--json" }).output, "\"config_version\":1"));
    CHECK(contains(run(fleet, { "locate", address }).output, fleet.entryAddress(1)));
    CHECK(
        contains(run(fleet, { "explain", address, "llm", "1000" }).output, "would go to engine-"));
    const Run tooLong = run(fleet, { "explain", address, "llm", "900000" });
    CHECK(contains(tooLong.output, "needs more memory"));
    CHECK(contains(tooLong.output, "no target can take the request"));

    fleet.entry(2).kill();
    CHECK(run(fleet, { "status", address }).exitCode == 1);
    CHECK(run(fleet, { "status", "127.0.0.1:1" }).exitCode == 3);
}

TEST_CASE("the command line works on documents")
{
    FleetOptions options;
    options.instances = 0;
    const Fleet fleet(options);
    const std::string file = fleet.folder() + "/fleet.ini";
    const std::string next = fleet.folder() + "/next.ini";

    CHECK(run(fleet, { "check", file }).exitCode == 0);
    const Run drained = run(fleet, { "drain", "zone-a", file });
    REQUIRE(drained.exitCode == 0);
    std::ofstream(next) << drained.output;
    const Run difference = run(fleet, { "diff", file, next });
    CHECK(difference.exitCode == 1);
    CHECK(contains(difference.output, "~ [zone.zone-a] state: active -> out"));
    CHECK(run(fleet, { "review", file, next }).exitCode == 0);
    CHECK(run(fleet, { "review", next, file }).exitCode == 1);

    std::ofstream(next) << "[fleet]\nversoin=1\n";
    const Run bad = run(fleet, { "check", next });
    CHECK(bad.exitCode == 1);
    CHECK(contains(bad.output, "nearest is 'version'"));
    CHECK(run(fleet, { "nonsense" }).exitCode == 2);
    CHECK(run(fleet, { "check" }).exitCode == 2);
    CHECK(run(fleet, { "check", "/nonexistent" }).exitCode == 2);
}

TEST_CASE("a daemon that cannot start says why in one line and ends")
{
    FleetOptions options;
    options.instances = 1;
    options.engines = 1;
    Fleet fleet(options);
    fleet.waitReady();
    Process onUsedPort("egretmount-fake-target", { "--target_address=" + fleet.engineAddress(0) },
                       fleet.folder() + "/used.log");
    CHECK(onUsedPort.wait() == 3);
    Process onUsedRpcPort("egretmount-entry",
                          { "--settings=" + fleet.folder() + "/entry-0.ini",
                            "--instance_httpAddress=127.0.0.1:17312" },
                          fleet.folder() + "/used-rpc.log");
    CHECK(onUsedRpcPort.wait() == 3);
    Process badSetting("egretmount-entry", { "--limits_maxRequests=none" },
                       fleet.folder() + "/bad.log");
    CHECK(badSetting.wait() == 2);
    std::ifstream stream(fleet.folder() + "/bad.log");
    const std::string log { std::istreambuf_iterator<char>(stream), {} };
    CHECK(contains(log, "maxRequests=none: expected an integer from 1 to 10000 requests"));
}

TEST_CASE("operators' pages keep to the operators' address if there is one")
{
    const std::string pages = "127.0.0.1:17313";
    FleetOptions options;
    options.instances = 1;
    options.engines = 1;
    options.entrySettings = "[operators]\naddress=" + pages + "\n";
    Fleet fleet(options);
    fleet.waitReady();
    for (const char *path : { "/metrics", "/v1/status", "/v1/explain?service=llm" }) {
        CHECK(http::fetch(pages, path, 3'000_ms)->status() == 200);
        CHECK(http::fetch(fleet.entryAddress(0), path, 3'000_ms)->status() == 404);
    }
}
