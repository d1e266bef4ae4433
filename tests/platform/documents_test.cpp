#include <doctest/doctest.h>

#include "platform/documents.h"
#include "platform/registry_snapshot.h"

using namespace egretmount;
using namespace egretmount::literals;

TEST_CASE("a configuration is converted to the project's types")
{
    const tl::expected<fleet::Configuration, std::string> read = platform::readConfiguration(
        R"({"version":7,"routes":[{"name":"a","host":"h","prefix":"/p/","kind":"streaming",)"
        R"("timeoutMs":10000,"sloMs":300,"priority":1,"backends":[{"service":"s","weight":90},)"
        R"({"service":"t","weight":0}],"attempts":2,"public":true,"sticky":true,)"
        R"("resumable":true,"gapTargetMs":250},{"name":"b","host":"h","prefix":"/q/",)"
        R"("kind":"non_idempotent","timeoutMs":800,"sloMs":300,"service":"t","attempts":1}],)"
        R"("services":[{"name":"s","healthPath":"/h","maxConns":304,"coldS":3.0,)"
        R"("coldPerS":26.0,"engine":{"slots":16,"kvCapacityTokens":405000,"stride":34,)"
        R"("step_ms":1.31,"per_seq_ms":0.5,"context_per_k":0.25,"read_per_s":154000.0,)"
        R"("pairs_per_m":0.162,"chunk":2048,"usual":{"prompt":11,"answer":12},"hopMs":0.1}},)"
        R"({"name":"t"}],"limits":{"headerBytes":16,"bodyBytes":32,"headerMs":3000,)"
        R"("idleMs":15000},"tenants":[{"name":"n","keys":["k1","k2"],"priority":3}],)"
        R"("unknown":{"new":1}})");
    REQUIRE(read.has_value());
    CHECK(read->version == 7);
    REQUIRE(read->routes.size() == 2);
    const fleet::Route &route = read->routes[0];
    CHECK(route.retrySemantics == fleet::RetrySemantics::Stream);
    CHECK(route.shares.size() == 1); // services with weight zero are left out
    CHECK(route.timeout == 10'000_ms);
    CHECK(route.latencyTarget == 300_ms);
    CHECK(route.eventGapTarget == 250_ms);
    CHECK(route.maxTargets == 2);
    CHECK(route.isResumable);
    CHECK(route.isPublic);
    CHECK(read->routes[1].retrySemantics == fleet::RetrySemantics::AtMostOnce);
    CHECK_FALSE(read->routes[1].isPublic);
    const fleet::ServiceSpec *service = fleet::findService(*read, ServiceId("s"));
    REQUIRE(service != nullptr);
    REQUIRE(service->engine.has_value());
    CHECK(service->engine->prefillTokensPerMs == doctest::Approx(154));
    CHECK(service->engine->stepsPerEvent == 34);
    CHECK(service->engine->memoryTokens == 405'000);
    CHECK_FALSE(fleet::findService(*read, ServiceId("t"))->engine.has_value());
    CHECK(read->limits.bodyBytes == 32);
    CHECK(fleet::findTeam(*read, "k2")->id.value == "n");
    CHECK(fleet::findTeam(*read, "k2")->priority == 3);
}

TEST_CASE("a configuration without its required fields is rejected with a reason")
{
    for (
        const char *text : {
            "",
            "[]",
            "{\"version\":1}",
            "{\"version\":\"1\",\"routes\":[],\"services\":[]}",
            R"({"version":1,"routes":[{"host":"h","prefix":"/","kind":"odd","service":"s"}],"services":[]})",
            R"({"version":1,"routes":[{"host":"h","prefix":"/","kind":"idempotent"}],"services":[]})",
            R"({"version":1,"routes":[7],"services":[]})",
        }) {
        CAPTURE(text);
        const tl::expected<fleet::Configuration, std::string> read =
            platform::readConfiguration(text);
        REQUIRE_FALSE(read.has_value());
        CHECK_FALSE(read.error().empty());
    }
}

TEST_CASE("an invalid registry entry is rejected")
{
    const std::string good =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"draining",)"
        R"("coldLeftMs":250,"sequence":4,"born":1700000000001})";
    const std::optional<fleet::TargetEntry> entry = platform::readTargetEntry(TargetId("a"), good);
    REQUIRE(entry.has_value());
    CHECK(entry->isDraining);
    CHECK(entry->coldLeft == 250_ms);
    CHECK(entry->startedAt == 1'700'000'000'001);
    for (const char *text : {
             "",
             "null",
             "\xff\xfe",
             R"({"service":1,"address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready"})",
             R"({"service":"s","address":"10.0.0.1","zone":"z","slots":6,"state":"ready"})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"6","state":"ready"})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":0,"state":"ready"})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"odd"})",
             R"({"service":"s","address":"10.0.0.1:80","slots":6,"state":"ready"})",
         }) {
        CAPTURE(text);
        CHECK_FALSE(platform::readTargetEntry(TargetId("a"), text).has_value());
    }
}

namespace {

std::string entryText(const std::string &slots, const std::string &coldLeft,
                      const std::string &address = "10.0.0.1:80")
{
    return R"({"service":"s","zone":"z","state":"ready","address":")" + address + R"(","slots":)"
           + slots + R"(,"coldLeftMs":)" + coldLeft + '}';
}

} // namespace

// Guards against a target that draws all requests: a number of slots that fits no `int` became zero
// or less, and a load divided by it compares as the smallest.
TEST_CASE("a registry entry whose number of slots fits no int is rejected")
{
    for (const std::string slots : { "4294967296", "4294967297", "2147483648", "9007199254740992",
                                     "-4294967295", "1e300", "1e999", "0.5" }) {
        CAPTURE(slots);
        CHECK_FALSE(platform::readTargetEntry(TargetId("a"), entryText(slots, "0")).has_value());
    }
    CHECK_FALSE(platform::readTargetEntry(TargetId("a"), entryText(std::string(400, '9'), "0"))
                    .has_value());
}

// Guards against a time that fits no 64 bits: its conversion is undefined, and gives the greatest
// time on one kind of machine and the least on another.
TEST_CASE("the cold time of a registry entry is within bounds on all machines")
{
    for (const std::string coldLeft : { "1e300", "9e18", "1e19", "700000" }) {
        CAPTURE(coldLeft);
        const std::optional<fleet::TargetEntry> entry =
            platform::readTargetEntry(TargetId("a"), entryText("6", coldLeft));
        REQUIRE(entry.has_value());
        CHECK(entry->coldLeft == 600'000_ms);
    }
    for (const std::string coldLeft : { "-1e300", "-1", "null", "\"1\"" }) {
        CAPTURE(coldLeft);
        const std::optional<fleet::TargetEntry> entry =
            platform::readTargetEntry(TargetId("a"), entryText("6", coldLeft));
        REQUIRE(entry.has_value());
        CHECK(entry->coldLeft == 0_ms);
    }
}

// Guards against a host name, whose look-up would block the event loop, and against ids and
// addresses that end a header field.
TEST_CASE("a registry entry is rejected unless its address is an IP address and a port")
{
    for (const std::string address :
         { "10.0.0.1:99999", "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1",
           "10.0.0.1:", "10.0.0.1:18446744073709551696", ":80", "10.0.0.999:80", "host.example:80",
           "10.0.0.1:http", "10.0.0.1:80:80", "10.0.0.1:80\\r\\nX: y", "10.0.0.1:80 " }) {
        CAPTURE(address);
        CHECK_FALSE(
            platform::readTargetEntry(TargetId("a"), entryText("6", "0", address)).has_value());
    }
    for (const std::string address : { "10.0.0.1:1", "10.0.0.1:65535", "127.0.0.1:8080" })
        CHECK(platform::readTargetEntry(TargetId("a"), entryText("6", "0", address)).has_value());
    for (const char *id : { "a\r\nX: y", "a b", "a\n" })
        CHECK_FALSE(platform::readTargetEntry(TargetId(id), entryText("6", "0")).has_value());
}

TEST_CASE("documents that nest deeply are rejected")
{
    for (const std::size_t depth : { 65U, 1'000U, 500'000U }) {
        CAPTURE(depth);
        const std::string list = std::string(depth, '[') + std::string(depth, ']');
        CHECK_FALSE(platform::readTargetEntry(TargetId("a"), list).has_value());
        CHECK_FALSE(platform::readTargetEntry(TargetId("a"), entryText("6", list)).has_value());
        CHECK_FALSE(
            platform::readConfiguration("{\"version\":1,\"routes\":" + list + ",\"services\":[]}")
                .has_value());
    }
}

// Guards against a division by zero in the planner: such a number became zero.
TEST_CASE("numbers of a configuration that fit no int are bounded")
{
    for (const char *number : { "4294967296", "-4294967296", "0", "1e300", "-1e300" }) {
        CAPTURE(number);
        std::string text =
            R"({"version":7,"routes":[{"name":"a","host":"h","prefix":"/p/","kind":"streaming",)"
            R"("timeoutMs":#,"attempts":#,"priority":#,"backends":[{"service":"s","weight":1},)"
            R"({"service":"t","weight":#}]}],"services":[{"name":"s","coldPerS":#,"engine":)"
            R"({"slots":#,"chunk":#,"stride":#,"read_per_s":#,"step_ms":#}}]})";
        for (std::size_t mark = text.find('#'); mark != std::string::npos; mark = text.find('#'))
            text.replace(mark, 1, number);
        const tl::expected<fleet::Configuration, std::string> read =
            platform::readConfiguration(text);
        REQUIRE(read.has_value());
        const fleet::Route &route = read->routes[0];
        CHECK(route.timeout >= Milliseconds(-1'000'000'000'000));
        CHECK(route.timeout <= Milliseconds(1'000'000'000'000));
        CHECK(route.maxTargets >= 1);
        CHECK(route.priority >= 0);
        CHECK(route.shares[0].weight == 1);
        const fleet::ServiceSpec *service = fleet::findService(*read, ServiceId("s"));
        REQUIRE(service != nullptr);
        CHECK(service->coldRequestsPerSecond >= 0);
        CHECK(service->coldRequestsPerSecond <= 1e9);
        CHECK(service->engine->slots >= 1);
        CHECK(service->engine->chunkTokens >= 1);
        CHECK(service->engine->stepsPerEvent >= 1);
        CHECK(service->engine->prefillTokensPerMs > 0);
        CHECK(service->engine->stepMs >= 0);
    }
}

TEST_CASE("a page of the store is converted to changes, and unknown keys are skipped")
{
    const std::optional<platform::RegistryPage> page = platform::readPage(
        R"({"items":[{"key":"op/evacuate/z1","value":"e30=","revision":3},)"
        R"({"key":"other/key","value":"e30=","revision":4},)"
        R"({"key":"servers/i-1","value":"!!","revision":5},)"
        R"({"key":"op/evacuate/z2","revision":6,"removed":true}],"hasMore":true,"at":9})");
    REQUIRE(page.has_value());
    CHECK(page->version == platform::RegistryVersion { 0, 9 });
    CHECK(page->hasMore);
    CHECK(page->lastKey == "op/evacuate/z2");
    REQUIRE(page->changes.size() == 3);
    CHECK(std::get<platform::EvacuationChanged>(page->changes[0]).isEvacuated);
    CHECK(std::get<platform::TargetRemoved>(page->changes[1]).isUnreadable);
    CHECK_FALSE(std::get<platform::EvacuationChanged>(page->changes[2]).isEvacuated);
    CHECK_FALSE(platform::readPage("{}").has_value());
    CHECK_FALSE(platform::readPage("{\"items\":[]}").has_value());
}

// A page without a length whose sender was killed must not pass for a shorter page.
TEST_CASE("a page of the store that breaks off anywhere is rejected")
{
    const std::string text =
        R"({"at": 9, "hasMore": false, "items":[{"key":"op/evacuate/z1","value":"e30="},)"
        R"({"key":"op/evacuate/z2","value":"e30="}]})";
    int accepted = 0;
    for (std::size_t length = 0; length < text.size(); ++length)
        accepted += platform::readPage(text.substr(0, length)) ? 1 : 0;
    CHECK(accepted == 0);
    CHECK(platform::readPage(text));
}

TEST_CASE("a service discovery response contains addresses and their lifetime")
{
    CHECK(platform::directoryBody({ "10.0.0.1:80" }, 2'000_ms)
          == R"({"addresses":["10.0.0.1:80"],"ttlS":2})");
}

TEST_CASE("a registry snapshot contains the last listing with later changes applied")
{
    const std::string listing =
        R"({"at": 7, "items": [{"key": "servers/i-1", "value": "eyJhIjoxfQ=="},)"
        R"( {"key": "op/evacuate/z1", "value": "e30="}, {"key": "other/x", "value": "e30="}]})";
    const std::optional<platform::RegistryPage> listed = platform::readPage(listing);
    REQUIRE(listed);
    platform::RegistrySnapshot snapshot;
    CHECK(snapshot.isEmpty());
    snapshot.applyListing(listed->items, listed->version);
    const std::optional<platform::RegistryPage> changes =
        platform::readPage(R"({"at": 9, "events": [{"key": "op/evacuate/z1", "removed": true},)"
                           R"( {"key": "op/evacuate/z2", "value": "e30="}]})");
    REQUIRE(changes);
    snapshot.applyChanges(changes->items, changes->version);
    const std::optional<platform::RegistryPage> read = platform::readPage(snapshot.body());
    REQUIRE(read);
    CHECK(read->version == platform::RegistryVersion { 0, 9 });
    CHECK(!read->hasMore);
    REQUIRE(read->items.size() == 2);
    CHECK(read->items[0].key == "op/evacuate/z2");
    CHECK(read->items[1].key == "servers/i-1");
    CHECK(read->items[1].encodedValue == "eyJhIjoxfQ==");
}

TEST_CASE("a registry snapshot returns the latest change of each key after a revision")
{
    platform::RegistrySnapshot snapshot;
    snapshot.applyListing({ { "servers/i-1", "QQ==", false }, { "servers/i-2", "Qg==", false } },
                          { 0, 5 });
    snapshot.applyChanges({ { "servers/i-2", "", true } }, { 0, 7 });
    snapshot.applyChanges({ { "op/config", "MQ==", false } }, { 0, 8 });
    snapshot.applyChanges({ { "op/config", "Mg==", false }, { "servers/i-1", "QUE=", false } },
                          { 0, 10 });
    CHECK_FALSE(snapshot.changesBody({ 0, 4 })); // removals before the listing are unknown
    const std::optional<std::string> body = snapshot.changesBody({ 0, 5 });
    REQUIRE(body);
    const std::optional<platform::RegistryPage> page = platform::readPage(*body);
    REQUIRE(page);
    CHECK(page->version == platform::RegistryVersion { 0, 10 });
    REQUIRE(page->items.size() == 3);
    CHECK(page->items[0].isRemoved);
    CHECK(page->items[0].key == "servers/i-2");
    CHECK(page->items[1].encodedValue == "Mg==");
    CHECK(page->items[2].key == "servers/i-1");
    const std::optional<platform::RegistryPage> later =
        platform::readPage(*snapshot.changesBody({ 0, 8 }));
    REQUIRE(later);
    CHECK(later->items.size() == 2);
    const std::optional<platform::RegistryPage> none =
        platform::readPage(*snapshot.changesBody({ 0, 10 }));
    REQUIRE(none);
    CHECK(none->items.empty());
}

TEST_CASE("a registry snapshot keeps a bounded number of removals")
{
    platform::RegistrySnapshot snapshot;
    snapshot.applyListing({}, { 0, 1 });
    const platform::Revision last = 1 + 2 * platform::RegistrySnapshot::maxRemovals;
    for (platform::Revision revision = 2; revision <= last; ++revision)
        snapshot.applyChanges({ { "servers/i-" + std::to_string(revision), "", true } },
                              { 0, revision });
    CHECK_FALSE(snapshot.changesBody({ 0, 1 }));
    CHECK(snapshot.changesBody({ 0, last - 100 }));
}

TEST_CASE("a call of another instance is recognized by its path and its revision")
{
    const auto call = [](const std::string &target) { return platform::readSnapshotCall(target); };
    REQUIRE(call("/v1/kv-range?prefix="));
    CHECK(std::holds_alternative<platform::ContentsCall>(*call("/v1/kv-range?prefix=")));
    REQUIRE(call("/v1/kv-watch?prefix=&after=42&waitMs=0"));
    CHECK(std::get<platform::ChangesCall>(*call("/v1/kv-watch?prefix=&after=42&waitMs=0")).after
          == platform::RegistryVersion { 0, 42 });
    CHECK_FALSE(call("/v1/kv-watch?prefix="));
    CHECK_FALSE(call("/v1/ready"));
}

// Guards against changes of one history being applied to the contents of another: both histories
// use the same revisions.
TEST_CASE("a registry snapshot returns no changes after a version of another era")
{
    platform::RegistrySnapshot snapshot;
    snapshot.applyListing({ { "servers/i-1", "QQ==", false } }, { 1, 50 });
    snapshot.applyListing({ { "servers/i-1", "QQ==", false } }, { 2, 40 });
    snapshot.applyChanges({ { "servers/i-2", "Qg==", false } }, { 2, 60 });
    CHECK(snapshot.version() == platform::RegistryVersion { 2, 60 });
    CHECK_FALSE(snapshot.changesBody({ 1, 50 }));
    CHECK_FALSE(snapshot.changesBody({ 3, 50 }));
    CHECK(snapshot.changesBody({ 2, 50 }));
}

TEST_CASE("a call for changes states the era, and one of an older release means era 0")
{
    const auto after = [](const std::string &target) {
        return std::get<platform::ChangesCall>(*platform::readSnapshotCall(target)).after;
    };
    const platform::RegistryVersion version { 3, 42 };
    CHECK(after(platform::snapshotChangesTarget(version)) == version);
    CHECK(after("/v1/kv-watch?prefix=&after=42&waitMs=0") == platform::RegistryVersion { 0, 42 });
}

// Guards against a malformed era that passes for a new or a missing one.
TEST_CASE("the era of the store is 0 if the header is missing, and unknown if it is malformed")
{
    CHECK(platform::readStoreEra({}) == 0);
    CHECK(platform::readStoreEra({ { "store-era", "7" } }) == 7);
    for (const char *malformed : { "", "-1", "x", "1x", "1.5", "99999999999999999999" }) {
        CAPTURE(malformed);
        CHECK_FALSE(platform::readStoreEra({ { "Store-Era", malformed } }));
    }
    std::string fields;
    platform::appendStoreEra(fields, 12);
    CHECK(fields == "Store-Era: 12\r\n");
}
