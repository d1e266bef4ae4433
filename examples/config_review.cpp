// Reviews a change that takes an availability zone out: prints the changes and the remaining
// capacity.

#include <iostream>

#include <egretmount/config/diff.h>
#include <egretmount/config/edit.h>
#include <egretmount/config/review.h>

int main()
{
    using namespace egretmount;
    const std::string inForce =
        "[fleet]\nversion=7\n[zone.thamel]\n[zone.lalitpur]\n[service.egret-writers]\n"
        "[target.e1]\nservice=egret-writers\nzone=thamel\naddress=10.0.0.1:9000\ntokens=10\n"
        "[target.e2]\nservice=egret-writers\nzone=lalitpur\naddress=10.0.0.2:9000\ntokens=10\n";
    const std::string next = *config::withState(inForce, "thamel", true);
    for (const config::Change &change :
         config::diff(*config::readIni(inForce), *config::readIni(next)))
        std::cout << config::describe(change) << '\n';

    const config::Review review = config::review(*config::parseFleetDocument(inForce, "in force"),
                                                 *config::parseFleetDocument(next, "next"));
    for (const config::ServiceCapacity &row : review.services)
        std::cout << row.service.value << ": " << row.before.slots << " -> " << row.after.slots
                  << " slots\n";
    for (const config::Finding &finding : review.findings)
        std::cout << nameOf(finding.severity) << ": " << finding.message << '\n';
}
