// Commands that read fleet documents: check, diff, review, drain and resume; and token-hash, which
// computes a value for such a document.

#include <cstdio>
#include <iostream>

#include <egretmount/config/diff.h>
#include <egretmount/config/edit.h>
#include <egretmount/config/review.h>

#include "command.h"

namespace egretmount::cli {

namespace {

// Prints the document with a zone or target, named by the first argument, drained or resumed.
int printNextDocument(const std::vector<std::string> &arguments, bool isDrained)
{
    const tl::expected<std::string, config::Problem> next =
        config::withState(readFile(arguments[1]), arguments[0], isDrained);
    if (!next)
        throw CommandError { exitFindings, config::describe(next.error()) };
    std::cout << *next;
    return exitSuccess;
}

} // namespace

int runCheck(const std::vector<std::string> &arguments)
{
    const config::FleetDocument document = readDocument(arguments[0]);
    std::cout << arguments[0] << ": version " << document.version << ", " << document.zones.size()
              << " availability zones, " << document.services.size() << " services, "
              << document.targets.size() << " targets, " << document.teams.size() << " teams\n";
    return exitSuccess;
}

int runDiff(const std::vector<std::string> &arguments)
{
    const std::vector<config::Change> changes =
        config::diff(readIniFile(arguments[0]), readIniFile(arguments[1]));
    for (const config::Change &change : changes)
        std::cout << config::describe(change) << '\n';
    return changes.empty() ? exitSuccess : exitFindings;
}

int runReview(const std::vector<std::string> &arguments)
{
    const config::Review review =
        config::review(readDocument(arguments[0]), readDocument(arguments[1]));
    std::printf("%-24s %17s %21s %25s\n", "service", "targets", "slots", "tokens");
    for (const config::ServiceCapacity &row : review.services)
        std::printf("%-24s %7d -> %6d %9lld -> %8lld %11lld -> %10lld\n", row.service.value.c_str(),
                    row.targetsBefore, row.targetsAfter, static_cast<long long>(row.before.slots),
                    static_cast<long long>(row.after.slots),
                    static_cast<long long>(row.before.tokens),
                    static_cast<long long>(row.after.tokens));
    for (const config::Finding &finding : review.findings)
        std::cout << nameOf(finding.severity) << ": " << finding.message << '\n';
    return review.isSafe() ? exitSuccess : exitFindings;
}

int runDrain(const std::vector<std::string> &arguments)
{
    return printNextDocument(arguments, true);
}

int runResume(const std::vector<std::string> &arguments)
{
    return printNextDocument(arguments, false);
}

int runTokenHash(const std::vector<std::string> &arguments)
{
    std::cout << toHex(sha256(arguments[0])) << '\n';
    return exitSuccess;
}

} // namespace egretmount::cli
