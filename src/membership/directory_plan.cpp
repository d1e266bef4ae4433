#include <egretmount/membership/directory_plan.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <utility>

#include <egretmount/core/hash.h>

namespace egretmount::membership {

namespace {

// Distance between the places of two successive responses as a part of the ring. With the golden
// ratio, any few successive places are far apart.
constexpr double responseStep = 0.618;

using Place = std::pair<std::uint64_t, std::string>;

double smallestKnown(const std::vector<std::string> &hosts, const instance::Capacities &capacities)
{
    double smallest = 0;
    for (const std::string &host : hosts) {
        const double capacity = instance::capacityOf(capacities, host);
        if (capacity > 0)
            smallest = smallest > 0 ? std::min(smallest, capacity) : capacity;
    }
    return smallest;
}

// Returns for each weight the part of the sections that name its host. The parts are proportional
// to the weights, at most one, and their sum is `meanSize`.
std::vector<double> namedParts(const std::vector<double> &weights, double meanSize)
{
    std::vector<double> parts(weights.size(), 0);
    double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    double rest = meanSize;
    bool isAnyNew = true;
    while (isAnyNew) {
        isAnyNew = false;
        double newSum = sum;
        double newRest = rest;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            if (parts[i] >= 1 || weights[i] * rest < sum)
                continue;
            parts[i] = 1;
            newSum -= weights[i];
            newRest -= 1;
            isAnyNew = true;
        }
        sum = newSum;
        rest = newRest;
    }
    for (std::size_t i = 0; i < weights.size(); ++i) {
        if (parts[i] < 1)
            parts[i] = weights[i] * rest / sum;
    }
    return parts;
}

// Lengthens sections of `meanSize` until they have `minSectionSize` names beside those that almost
// all have. The longer the sections, the more hosts can be named by all of them.
double enlargedSize(const std::vector<double> &weights, double meanSize, double maxSize)
{
    while (true) {
        const std::vector<double> parts = namedParts(weights, meanSize);
        const std::ptrdiff_t always = std::count_if(
            parts.begin(), parts.end(), [](double part) { return part >= almostAllSections; });
        const double needed =
            std::min(static_cast<double>(minSectionSize) + static_cast<double>(always), maxSize);
        if (needed <= meanSize)
            return meanSize;
        meanSize = needed;
    }
}

} // namespace

bool needsDirectoryPlan(const std::vector<std::string> &hosts,
                        const instance::Capacities &capacities, std::size_t limit)
{
    if (hosts.size() <= limit || capacities.empty())
        return false;
    const double smallest = smallestKnown(hosts, capacities);
    std::size_t known = 0;
    double largest = 0;
    for (const std::string &host : hosts) {
        const double capacity = instance::capacityOf(capacities, host);
        known += capacity > 0 ? 1 : 0;
        largest = std::max(largest, capacity);
    }
    return 2 * known > hosts.size() && largest >= instance::unequalCapacityFactor * smallest;
}

DirectoryPlan directoryPlan(const std::vector<std::string> &hosts,
                            const instance::Capacities &capacities, std::size_t limit)
{
    std::vector<Place> places;
    places.reserve(hosts.size());
    for (const std::string &host : hosts)
        places.emplace_back(stableHash(host), host);
    std::sort(places.begin(), places.end());
    const double smallest = smallestKnown(hosts, capacities);
    std::vector<double> weights;
    weights.reserve(hosts.size());
    for (const auto &[hash, host] : places)
        weights.push_back(std::max(instance::capacityOf(capacities, host), smallest));
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    const double largest = *std::max_element(weights.begin(), weights.end());
    const double maxSize = std::floor(static_cast<double>(limit) * maxMeanSectionShare);
    const double meanSize =
        enlargedSize(weights, std::min(std::floor(sum / largest), maxSize), maxSize);
    const std::vector<double> parts = namedParts(weights, meanSize);
    DirectoryPlan plan;
    plan.limit = limit;
    plan.entries.reserve(hosts.size());
    const double count = static_cast<double>(hosts.size());
    for (std::size_t i = 0; i < places.size(); ++i) {
        const double sections = std::clamp(std::round(parts[i] * count), 1.0, count);
        plan.entries.push_back({ std::move(places[i].second), static_cast<std::size_t>(sections) });
    }
    return plan;
}

std::size_t directoryPlace(const DirectoryPlan &plan, const std::string &host)
{
    const Place own(stableHash(host), host);
    const auto found =
        std::find_if(plan.entries.begin(), plan.entries.end(), [&](const DirectoryPlan::Entry &e) {
            return Place(stableHash(e.host), e.host) >= own;
        });
    return static_cast<std::size_t>(found - plan.entries.begin()) % plan.entries.size();
}

std::size_t responsePlace(const DirectoryPlan &plan, std::size_t ownPlace, std::size_t response)
{
    const std::size_t count = plan.entries.size();
    std::size_t step = static_cast<std::size_t>(static_cast<double>(count) * responseStep);
    while (std::gcd(step, count) != 1)
        ++step;
    return (ownPlace + response % count * step) % count;
}

std::vector<std::string> directorySection(const DirectoryPlan &plan, std::size_t place)
{
    const std::size_t count = plan.entries.size();
    std::vector<std::pair<double, const std::string *>> named;
    for (std::size_t distance = 0; distance < count; ++distance) {
        const DirectoryPlan::Entry &entry = plan.entries[(place + distance) % count];
        if (distance < entry.sections)
            named.emplace_back(static_cast<double>(distance) / static_cast<double>(entry.sections),
                               &entry.host);
    }
    // A host that is cut here is still named by the sections closer to its own place.
    std::stable_sort(named.begin(), named.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    named.resize(std::min(named.size(), plan.limit));
    std::vector<std::string> hosts;
    hosts.reserve(named.size());
    for (const auto &[part, host] : named)
        hosts.push_back(*host);
    return hosts;
}

} // namespace egretmount::membership
