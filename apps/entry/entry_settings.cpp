#include "entry_settings.h"

namespace egretmount::entry {

namespace {

constexpr std::int64_t highestMilliseconds = 3'600'000;
constexpr std::int64_t highestBodyBytes = 256 << 20;
constexpr std::int64_t highestRequests = 10'000;

std::vector<config::SectionSpec> makeSpecs()
{
    using config::ValueKind;
    return {
        { "instance",
          false,
          {
              { "id", ValueKind::Text, "", "", 0, 0, "", true,
                "Name of this instance in the platform's list." },
              { "zone", ValueKind::Text, "", "", 0, 0, "", true,
                "Availability zone that it stands in." },
              { "httpAddress", ValueKind::Address, "", "", 0, 0, "", true, "Address for callers." },
              { "rpcAddress", ValueKind::Address, "", "", 0, 0, "", true,
                "Address for other instances." },
          } },
        { "platform",
          false,
          {
              { "address", ValueKind::Address, "", "", 0, 0, "", true,
                "Address of the platform's HTTP server." },
          } },
        { "peers",
          false,
          {
              { "fleetKey", ValueKind::Text, "", "", 0, 0, "", true,
                "Secret that all instances share." },
              { "senderToken", ValueKind::Text, "", "", 0, 0, "", false,
                "Secret that targets expect of who gives them orders." },
          } },
        { "operators",
          false,
          {
              { "address", ValueKind::Address, "", "", 0, 0, "", false,
                "Address of /metrics, /v1/status and /v1/explain, which name teams and targets; "
                "empty: that for callers." },
          } },
        { "limits",
          false,
          {
              { "maxBodyBytes", ValueKind::Integer, "bytes", "16777216", 1, highestBodyBytes, "",
                false, "Longest body of a request." },
              { "maxRequests", ValueKind::Integer, "requests", "512", 1, highestRequests, "", false,
                "Requests served at one time." },
              { "defaultDeadlineMs", ValueKind::Integer, "ms", "30000", 1, highestMilliseconds, "",
                false, "Deadline of a request that states none." },
              { "maxDeadlineMs", ValueKind::Integer, "ms", "600000", 1, highestMilliseconds, "",
                false, "Longest deadline; a longer one is cut to it." },
              { "locateMaxAgeMs", ValueKind::Integer, "ms", "5000", 1, highestMilliseconds, "",
                false, "How long callers may keep the answer of /v1/locate." },
              { "drainSlackMs", ValueKind::Integer, "ms", "1000", 0, highestMilliseconds, "", false,
                "Time added to locateMaxAgeMs before a leaving instance closes." },
          } },
        { "policy",
          false,
          {
              { "lanes", ValueKind::Choice, "", "elastic", 0, 0, "elastic|static|priority|fifo",
                false, "How short and long prompts share the targets of a service." },
          } },
        { "tickets",
          false,
          {
              { "lifetimeMs", ValueKind::Integer, "ms", "60000", 1, highestMilliseconds, "", false,
                "How long a ticket for a call that may not be repeated can be used." },
              { "witness", ValueKind::Choice, "", "yes", 0, 0, "yes|no", false,
                "Whether a peer must permit such a call before it is sent." },
          } },
        { "credit",
          false,
          {
              { "listLagMs", ValueKind::Integer, "ms", "700", 1, highestMilliseconds, "", false,
                "Longest time until a new instance list is known at every instance." },
              { "reportLagMs", ValueKind::Integer, "ms", "400", 1, highestMilliseconds, "", false,
                "Greatest age of a target's load report when it arrives." },
          } },
    };
}

} // namespace

const std::vector<config::SectionSpec> &entrySettingsSpecs()
{
    static const std::vector<config::SectionSpec> specs = makeSpecs();
    return specs;
}

EntrySettings readEntrySettings(const kernel::Settings &settings)
{
    const config::SectionReader instance = settings.section("instance");
    const config::SectionReader limits = settings.section("limits");
    EntrySettings read;
    read.id = InstanceId(instance.text("id"));
    read.zone = ZoneId(instance.text("zone"));
    read.httpAddress = instance.text("httpAddress");
    read.rpcAddress = instance.text("rpcAddress");
    read.platformAddress = settings.section("platform").text("address");
    read.fleetKey = settings.section("peers").text("fleetKey");
    read.senderToken = settings.section("peers").text("senderToken");
    read.operatorsAddress = settings.section("operators").text("address");
    read.maxBodyBytes = static_cast<std::size_t>(limits.integer("maxBodyBytes"));
    read.maxRequests = static_cast<int>(limits.integer("maxRequests"));
    read.defaultDeadline = Milliseconds(limits.integer("defaultDeadlineMs"));
    read.maxDeadline = Milliseconds(limits.integer("maxDeadlineMs"));
    read.locateMaxAge = Milliseconds(limits.integer("locateMaxAgeMs"));
    read.drainSlack = Milliseconds(limits.integer("drainSlackMs"));
    read.lanePolicy = valueNamed<routing::LanePolicy>(settings.section("policy").text("lanes"))
                          .value_or(routing::LanePolicy::Elastic);
    const config::SectionReader tickets = settings.section("tickets");
    read.ticketLifetime = Milliseconds(tickets.integer("lifetimeMs"));
    read.usesWitness = tickets.text("witness") == "yes";
    const config::SectionReader credit = settings.section("credit");
    read.listLag = Milliseconds(credit.integer("listLagMs"));
    read.reportLag = Milliseconds(credit.integer("reportLagMs"));
    return read;
}

} // namespace egretmount::entry
