#include <egretmount/placement/load_estimate.h>

#include <algorithm>

namespace egretmount::placement {

double unannouncedArrivals(const DemandRate &received, std::size_t instances, Milliseconds now)
{
    if (instances < 2)
        return 0;
    const double others = static_cast<double>(instances - 1) / static_cast<double>(instances);
    const double seconds = static_cast<double>(announcementDelay.count()) / 1'000;
    return std::min(currentRate(received, now) * others * seconds, maxUnannouncedArrivals);
}

double unannouncedEndShare(Milliseconds meanDelay, double secondsInFlight)
{
    if (secondsInFlight <= 0)
        return 0;
    return std::clamp(static_cast<double>(meanDelay.count()) / (secondsInFlight * 1'000), 0.0, 1.0);
}

double knownShortRequests(const LoadTracker &tracker, Milliseconds now)
{
    double requests = 0;
    for (const auto &[id, request] : tracker.inFlight)
        requests += request.isShort ? 1 : 0;
    for (const auto &[key, engine] : tracker.engines)
        requests += untrackedRequests(engine, now);
    return requests;
}

double randomShare(std::uint64_t seed, std::uint64_t key)
{
    // The finalizer of SplitMix64 spreads neighbouring seeds and keys over all 64 bits.
    std::uint64_t bits = seed * 0x9e3779b97f4a7c15ULL + key;
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
    bits ^= bits >> 31;
    return static_cast<double>(bits >> 11) / 9007199254740992.0; // 2 to the power of 53
}

} // namespace egretmount::placement
