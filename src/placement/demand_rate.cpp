#include <egretmount/placement/demand_rate.h>

#include <cmath>

namespace egretmount::placement {

namespace {

double decay(const DemandRate &rate, Milliseconds now)
{
    const double age = static_cast<double>((now - rate.updatedAt).count());
    return std::exp(-age / static_cast<double>(rate.window.count()));
}

} // namespace

void recordArrival(DemandRate &rate, double amount, Milliseconds now)
{
    rate.perSecond =
        currentRate(rate, now) + amount * 1'000.0 / static_cast<double>(rate.window.count());
    rate.updatedAt = now;
}

double currentRate(const DemandRate &rate, Milliseconds now)
{
    return rate.perSecond * decay(rate, now);
}

void recordCompletion(DemandRate &rate, Milliseconds inFlight)
{
    const double seconds = static_cast<double>(inFlight.count()) / 1'000;
    rate.secondsInFlight += (seconds - rate.secondsInFlight) * secondsInFlightSmoothing;
}

double expectedInFlight(const DemandRate &rate, Milliseconds now)
{
    return currentRate(rate, now) * rate.secondsInFlight;
}

} // namespace egretmount::placement
