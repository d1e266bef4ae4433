// Offers fleet documents for adoption. The highest version wins; an invalid document changes
// nothing.

#include <iostream>

#include <egretmount/config/adoption.h>

namespace {

using namespace egretmount;

void offerAndPrint(config::ConfigState &state, const std::string &text)
{
    const config::OfferResult result = config::offer(state, text, Milliseconds(0));
    std::cout << nameOf(result.adoption) << ", in force: " << state.document->version << '\n';
    for (const config::Problem &problem : result.problems)
        std::cout << "  " << config::describe(problem) << '\n';
}

} // namespace

int main()
{
    config::ConfigState state;
    offerAndPrint(state, "[fleet]\nversion=2\n[zone.wien-a]\nstate=active\n");
    offerAndPrint(state, "[fleet]\nversion=1\n");
    offerAndPrint(state, "[fleet]\nversion=3\n[zone.wien-a]\nstate=closed\n");
    offerAndPrint(state, "[fleet]\nversion=4\n[zone.wien-a]\nstate=out\n");
}
