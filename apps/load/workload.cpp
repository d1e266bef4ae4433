#include "workload.h"

#include <cmath>

#include <egretmount/core/digest.h>
#include <egretmount/core/random.h>

namespace egretmount::load {

namespace {

constexpr double millisPerSecond = 1000.0;

template<typename Share>
std::size_t drawByWeight(const std::vector<Share> &shares, Random &random)
{
    std::int64_t total = 0;
    for (const Share &share : shares)
        total += share.weight;
    std::int64_t drawn = static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(total)));
    for (std::size_t i = 0; i < shares.size(); ++i) {
        drawn -= shares[i].weight;
        if (drawn < 0)
            return i;
    }
    return shares.size() - 1;
}

TokenCount drawTokens(const LengthShare &length, Random &random)
{
    const double low = std::log(static_cast<double>(length.lowTokens));
    const double high = std::log(static_cast<double>(length.highTokens));
    return static_cast<TokenCount>(std::exp(low + (high - low) * random.fraction()));
}

} // namespace

std::vector<Arrival> makeArrivals(const Workload &workload)
{
    std::vector<Arrival> arrivals;
    Random random(workload.seed);
    const double perMillisecond = static_cast<double>(workload.requestsPerSecond) / millisPerSecond;
    double at = 0;
    for (;;) {
        at -= std::log(1.0 - random.fraction()) / perMillisecond;
        if (at >= static_cast<double>(workload.duration.count()))
            return arrivals;
        Arrival arrival;
        arrival.at = Milliseconds(static_cast<std::int64_t>(at));
        arrival.length = drawByWeight(workload.lengths, random);
        arrival.team = drawByWeight(workload.teams, random);
        arrival.promptTokens = drawTokens(workload.lengths[arrival.length], random);
        arrival.promptSeed = random.next();
        arrivals.push_back(arrival);
    }
}

std::uint64_t digestOf(const std::vector<Arrival> &arrivals)
{
    std::string text;
    for (const Arrival &arrival : arrivals) {
        text += std::to_string(arrival.at.count()) + ' ' + std::to_string(arrival.length) + ' '
                + std::to_string(arrival.team) + ' ' + std::to_string(arrival.promptTokens) + ' '
                + std::to_string(arrival.promptSeed) + '\n';
    }
    return digestHash(text);
}

} // namespace egretmount::load
