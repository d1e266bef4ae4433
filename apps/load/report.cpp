#include "report.h"

#include <cstdio>
#include <iomanip>

namespace egretmount::load {

namespace {

void writeMillis(std::ostream &out, double millis)
{
    if (millis < 0)
        out << std::setw(10) << '-';
    else
        out << std::setw(10) << std::fixed << std::setprecision(2) << millis;
}

void writePercentiles(std::ostream &out, const Percentiles &percentiles)
{
    for (double millis : { percentiles.p50, percentiles.p95, percentiles.p99 })
        writeMillis(out, millis);
}

void writeRow(std::ostream &out, const std::string &name, const Summary &summary)
{
    out << std::left << std::setw(22) << name << std::right << std::setw(7) << summary.sent
        << std::setw(7) << summary.good << std::setw(6) << summary.late << std::setw(8)
        << summary.refused;
    writePercentiles(out, summary.firstToken);
    writePercentiles(out, summary.total);
    out << '\n';
}

void writeCounts(std::ostream &out, const std::string &title,
                 const std::map<std::string, std::size_t> &counts)
{
    if (counts.empty())
        return;
    out << title << ':';
    for (const std::pair<const std::string, std::size_t> &count : counts)
        out << "  " << count.first << '=' << count.second;
    out << '\n';
}

void writeGroups(std::ostream &out, const std::string &prefix,
                 const std::map<std::string, Summary> &summaries)
{
    for (const std::pair<const std::string, Summary> &group : summaries)
        writeRow(out, prefix + group.first, group.second);
}

void writePhases(std::ostream &out, const RunRecord &run)
{
    constexpr double millisPerSecond = 1000.0;
    for (const Phase &phase : phasesOf(run)) {
        const Summary all = summarise(phase.samples);
        const double seconds = static_cast<double>(phase.length.count()) / millisPerSecond;
        writeRow(out, "phase " + phase.name, all);
        writeGroups(out, "  ",
                    summariseBy(phase.samples, [](const Sample &s) { return s.length; }));
        out << "  " << static_cast<double>(all.good) / seconds << " good/s, "
            << static_cast<double>(all.goodTokens) / seconds << " good tokens/s\n";
        std::map<std::string, std::size_t> targets;
        for (const Sample &sample : phase.samples)
            ++targets[sample.target.empty() ? "none" : sample.target];
        writeCounts(out, "  targets", targets);
    }
}

void writeRun(std::ostream &out, const RunRecord &run)
{
    std::vector<std::int64_t> lateness;
    for (const Sample &sample : run.samples)
        lateness.push_back(sample.sentLateMicros);
    const Summary all = summarise(run.samples);
    out << "== " << nameOfRun(run) << "  seed=" << run.seed << " arrivals=" << run.arrivalsDigest
        << " rate=" << run.requestsPerSecond << "/s seconds=" << run.seconds
        << " unsent=" << run.unsent << " sent-late-p99=" << std::fixed << std::setprecision(1)
        << percentilesOf(std::move(lateness)).p99 << "ms\n";
    out << std::left << std::setw(22) << "group" << std::right << std::setw(7) << "sent"
        << std::setw(7) << "good" << std::setw(6) << "late" << std::setw(8) << "refused"
        << std::setw(10) << "first-50" << std::setw(10) << "95" << std::setw(10) << "99"
        << std::setw(10) << "total-50" << std::setw(10) << "95" << std::setw(10) << "99" << '\n';
    writeRow(out, "all", all);
    writeGroups(out, "length ", summariseBy(run.samples, [](const Sample &s) { return s.length; }));
    writeGroups(out, "team ", summariseBy(run.samples, [](const Sample &s) { return s.team; }));
    writeGroups(out, "path ", summariseBy(run.samples, [](const Sample &s) { return s.path; }));
    writePhases(out, run);
    const double seconds = static_cast<double>(run.seconds);
    out << "goodput: " << static_cast<double>(all.good) / seconds << " requests/s, "
        << static_cast<double>(all.goodTokens) / seconds << " prompt tokens/s\n";
    writeCounts(out, "verdicts", all.verdicts);
    writeCounts(out, "errors", all.errors);
    if (all.refusal.count > 0) {
        out << "refused after ms (50/95/99):";
        writePercentiles(out, all.refusal);
        out << "\nretry-after ms (50/95/99):  ";
        writePercentiles(out, all.retryAfter);
        out << '\n';
    }
    out << '\n';
}

// Returns the first run with this label that has lengths left out; null if there is none.
const RunRecord *findWithout(const std::vector<RunRecord> &runs, const std::string &label)
{
    for (const RunRecord &run : runs) {
        if (run.label == label && !run.without.empty())
            return &run;
    }
    return nullptr;
}

} // namespace

std::string checkComparable(const std::vector<RunRecord> &runs)
{
    for (const RunRecord &run : runs) {
        if (run.arrivalsDigest != runs.front().arrivalsDigest)
            return nameOfRun(run) + " has other arrivals than " + nameOfRun(runs.front());
    }
    return {};
}

std::string nameOfRun(const RunRecord &run)
{
    std::string name = run.label;
    for (const std::string &length : run.without)
        name += " without " + length;
    return name;
}

std::vector<Phase> phasesOf(const RunRecord &run)
{
    constexpr std::int64_t millisPerSecond = 1000;
    if (run.faults.empty())
        return {};
    std::vector<Phase> phases { { "start", Milliseconds(), {} } };
    Milliseconds start;
    std::size_t next = 0;
    for (const InjectedFault &fault : run.faults) {
        phases.back().length = fault.at - start;
        while (next < run.samples.size() && run.samples[next].at < fault.at)
            phases.back().samples.push_back(run.samples[next++]);
        phases.push_back({ fault.name, Milliseconds(), {} });
        start = fault.at;
    }
    phases.back().length = Milliseconds(run.seconds * millisPerSecond) - start;
    phases.back().samples.assign(run.samples.begin() + static_cast<std::ptrdiff_t>(next),
                                 run.samples.end());
    return phases;
}

std::vector<Slowdown> slowdownsOf(const std::vector<RunRecord> &runs)
{
    std::vector<Slowdown> slowdowns;
    for (const RunRecord &run : runs) {
        const RunRecord *baseline = run.without.empty() ? findWithout(runs, run.label) : nullptr;
        if (!baseline)
            continue;
        const auto lengthName = [](const Sample &sample) { return sample.length; };
        const std::map<std::string, Summary> with = summariseBy(run.samples, lengthName);
        for (const std::pair<const std::string, Summary> &group :
             summariseBy(baseline->samples, lengthName)) {
            const auto same = with.find(group.first);
            if (same != with.end())
                slowdowns.push_back({ run.label, group.first, same->second.firstToken.p99,
                                      group.second.firstToken.p99 });
        }
    }
    return slowdowns;
}

void writeTable(const std::vector<RunRecord> &runs, std::ostream &out)
{
    for (const RunRecord &run : runs)
        writeRun(out, run);
    for (const Slowdown &slowdown : slowdownsOf(runs)) {
        out << "slowdown: " << slowdown.label << ' ' << slowdown.length << " first-token p99 "
            << std::setprecision(1) << slowdown.withAll << " ms over " << slowdown.without
            << " ms = " << std::setprecision(3) << slowdown.ratio() << '\n';
    }
}

} // namespace egretmount::load
