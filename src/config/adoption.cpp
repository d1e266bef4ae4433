#include <egretmount/config/adoption.h>

namespace egretmount::config {

namespace {

bool isPreferred(const FleetDocument &offered, const FleetDocument &present)
{
    if (offered.version != present.version)
        return offered.version > present.version;
    return offered.digest > present.digest;
}

} // namespace

OfferResult offer(ConfigState &state, const std::string &text, Milliseconds now)
{
    if (state.document && state.text == text)
        return { Adoption::Same, {} };
    if (!state.refusedProblems.empty() && state.refusedText == text)
        return { Adoption::Invalid, state.refusedProblems };
    tl::expected<FleetDocument, std::vector<Problem>> parsed =
        parseFleetDocument(text, "fleet document");
    if (!parsed) {
        state.refusedText = text;
        state.refusedProblems = parsed.error();
        return { Adoption::Invalid, parsed.error() };
    }
    if (state.document && !isPreferred(*parsed, *state.document))
        return { Adoption::Older, {} };
    state.document = std::make_shared<const FleetDocument>(std::move(*parsed));
    state.text = text;
    state.adoptedAt = now;
    return { Adoption::Adopted, {} };
}

} // namespace egretmount::config
