#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "report.h"

namespace egretmount::load {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

Object toObject(const Percentiles &percentiles)
{
    Object object;
    object.set("count", static_cast<std::uint64_t>(percentiles.count));
    object.set("p50_ms", percentiles.p50);
    object.set("p95_ms", percentiles.p95);
    object.set("p99_ms", percentiles.p99);
    return object;
}

Object toObject(const std::map<std::string, std::size_t> &counts)
{
    Object object;
    for (const std::pair<const std::string, std::size_t> &count : counts)
        object.set(count.first, static_cast<std::uint64_t>(count.second));
    return object;
}

Object toObject(const Summary &summary)
{
    Object object;
    object.set("sent", static_cast<std::uint64_t>(summary.sent));
    object.set("good", static_cast<std::uint64_t>(summary.good));
    object.set("late", static_cast<std::uint64_t>(summary.late));
    object.set("refused", static_cast<std::uint64_t>(summary.refused));
    object.set("good_tokens", summary.goodTokens);
    object.set("first_token", toObject(summary.firstToken));
    object.set("total", toObject(summary.total));
    object.set("refusal", toObject(summary.refusal));
    object.set("retry_after", toObject(summary.retryAfter));
    object.set("verdicts", toObject(summary.verdicts));
    object.set("errors", toObject(summary.errors));
    return object;
}

Object toObject(const std::map<std::string, Summary> &summaries)
{
    Object object;
    for (const std::pair<const std::string, Summary> &group : summaries)
        object.set(group.first, toObject(group.second));
    return object;
}

Array goodputOf(const RunRecord &run)
{
    Array seconds;
    for (const GoodputSecond &second : goodputOverTime(run.samples)) {
        Object row;
        row.set("sent", static_cast<std::uint64_t>(second.sent));
        row.set("good", static_cast<std::uint64_t>(second.good));
        row.set("good_tokens", second.goodTokens);
        seconds.add(row);
    }
    return seconds;
}

Object toObject(const RunRecord &run)
{
    Object object;
    object.set("name", nameOfRun(run));
    object.set("seed", run.seed);
    object.set("arrivals", std::to_string(run.arrivalsDigest));
    object.set("requests_per_second", run.requestsPerSecond);
    object.set("seconds", run.seconds);
    object.set("unsent", static_cast<std::uint64_t>(run.unsent));
    Array faults;
    for (const InjectedFault &fault : run.faults)
        faults.add(fault.name + " at " + std::to_string(fault.at.count()) + " ms");
    object.set("faults", faults);
    object.set("all", toObject(summarise(run.samples)));
    object.set("lengths",
               toObject(summariseBy(run.samples, [](const Sample &s) { return s.length; })));
    object.set("teams", toObject(summariseBy(run.samples, [](const Sample &s) { return s.team; })));
    object.set("paths", toObject(summariseBy(run.samples, [](const Sample &s) { return s.path; })));
    Object phases;
    for (const Phase &phase : phasesOf(run))
        phases.set(phase.name, toObject(summarise(phase.samples)));
    object.set("phases", phases);
    object.set("goodput_by_second", goodputOf(run));
    return object;
}

} // namespace

void writeJson(const std::vector<RunRecord> &runs, std::ostream &out)
{
    constexpr unsigned indent = 2;
    Array rows;
    for (const RunRecord &run : runs)
        rows.add(toObject(run));
    Array slowdowns;
    for (const Slowdown &slowdown : slowdownsOf(runs)) {
        Object row;
        row.set("label", slowdown.label);
        row.set("length", slowdown.length);
        row.set("with_all_ms", slowdown.withAll);
        row.set("without_ms", slowdown.without);
        row.set("ratio", slowdown.ratio());
        slowdowns.add(row);
    }
    Object report;
    report.set("runs", rows);
    report.set("slowdowns", slowdowns);
    report.stringify(out, indent);
    out << '\n';
}

} // namespace egretmount::load
