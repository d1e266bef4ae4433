#include <egretmount/routing/lane_policy.h>

#include <algorithm>
#include <cmath>

namespace egretmount::routing {

using namespace literals;

namespace {

constexpr double demandHalfLifeMs = 5'000;
constexpr double reserveHeadroom = 1.25; // over the measured share of short and medium prompts
constexpr double minReserveShare = 0.2; // of the targets
constexpr double poolDrainTimeMs = 250; // time in which the long pool drains its backlog
constexpr int priorityLevelsPerClass = 10'000; // exceeds the highest level plus the bonus
constexpr int withinShareBonus = 5'000;

std::size_t shortReserveSize(const LengthDemand &demand, std::size_t targets)
{
    const double all = demand.shortTokens + demand.longTokens;
    const double share = all > 0 ? demand.shortTokens / all * reserveHeadroom : 0;
    const double wanted = std::clamp(share, minReserveShare, 1.0) * static_cast<double>(targets);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(wanted)), 1, targets - 1);
}

} // namespace

void recordArrival(LengthDemand &demand, TokenCount promptTokens, Milliseconds now)
{
    const double elapsed = static_cast<double>((now - demand.updatedAt).count());
    const double kept = std::exp2(-elapsed / demandHalfLifeMs);
    demand.shortTokens *= kept;
    demand.longTokens *= kept;
    demand.updatedAt = now;
    double &sum = isLongClass(lengthClassOf(promptTokens)) ? demand.longTokens : demand.shortTokens;
    sum += static_cast<double>(promptTokens);
}

PoolSizes poolSizes(LanePolicy policy, const LengthDemand &demand, std::size_t targets,
                    double prefillTokensPerMs)
{
    if (targets < 2 || policy == LanePolicy::Priority || policy == LanePolicy::Fifo)
        return { targets, 0 };
    if (policy == LanePolicy::Static)
        return { targets / 2, targets - targets / 2 };
    PoolSizes sizes;
    sizes.shortReserve = shortReserveSize(demand, targets);
    if (demand.longBacklog <= 0)
        return sizes;
    const double wanted =
        std::ceil(static_cast<double>(demand.longBacklog) / (prefillTokensPerMs * poolDrainTimeMs));
    sizes.longPool = std::min(static_cast<std::size_t>(wanted), targets - sizes.shortReserve);
    return sizes;
}

int enginePriority(LanePolicy policy, LengthClass length, int level, bool isWithinShare)
{
    if (policy == LanePolicy::Fifo)
        return 0;
    const int own = level + (isWithinShare ? withinShareBonus : 0);
    if (policy == LanePolicy::Static)
        return own;
    const int rank = static_cast<int>(LengthClass::Huge) - static_cast<int>(length);
    return rank * priorityLevelsPerClass + own;
}

} // namespace egretmount::routing
