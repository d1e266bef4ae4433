#include <egretmount/config/review.h>

#include <algorithm>

namespace egretmount::config {

namespace {

constexpr int percent = 100;

ServiceCapacity &capacityOf(Review &review, const ServiceId &id)
{
    const auto place = std::lower_bound(
        review.services.begin(), review.services.end(), id,
        [](const ServiceCapacity &row, const ServiceId &wanted) { return row.service < wanted; });
    if (place != review.services.end() && place->service == id)
        return *place;
    ServiceCapacity row;
    row.service = id;
    return *review.services.insert(place, row);
}

void addTargets(Review &review, const FleetDocument &document, Capacity ServiceCapacity::*capacity,
                int ServiceCapacity::*count)
{
    for (const Target &target : document.targets) {
        if (!acceptsNewWork(document, target))
            continue;
        ServiceCapacity &row = capacityOf(review, target.service);
        (row.*capacity).tokens += target.capacity.tokens;
        (row.*capacity).slots += target.capacity.slots;
        ++(row.*count);
    }
}

void addFindings(Review &review, const ServiceCapacity &row)
{
    if (row.targetsBefore > 0 && row.targetsAfter == 0) {
        review.findings.push_back(
            { Severity::Refusal, "service " + row.service.value
                                     + " would have no target for new work; bring one back "
                                       "first" });
        return;
    }
    const std::int64_t lost = row.before.slots - row.after.slots;
    if (row.before.slots > 0 && lost * percent >= row.before.slots * capacityLossWarningPercent) {
        review.findings.push_back(
            { Severity::Warning, "service " + row.service.value + " would lose "
                                     + std::to_string(lost * percent / row.before.slots)
                                     + " percent of its slots" });
    }
}

} // namespace

bool Review::isSafe() const
{
    return std::none_of(findings.begin(), findings.end(), [](const Finding &finding) {
        return finding.severity == Severity::Refusal;
    });
}

Review review(const FleetDocument &inForce, const FleetDocument &proposed)
{
    Review result;
    for (const Service &service : inForce.services)
        capacityOf(result, service.id);
    for (const Service &service : proposed.services)
        capacityOf(result, service.id);
    addTargets(result, inForce, &ServiceCapacity::before, &ServiceCapacity::targetsBefore);
    addTargets(result, proposed, &ServiceCapacity::after, &ServiceCapacity::targetsAfter);
    if (proposed.version <= inForce.version) {
        result.findings.push_back({ Severity::Refusal, "version " + std::to_string(proposed.version)
                                                           + " is not above the version in force, "
                                                           + std::to_string(inForce.version) });
    }
    for (const ServiceCapacity &row : result.services)
        addFindings(result, row);
    return result;
}

} // namespace egretmount::config
