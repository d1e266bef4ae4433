#include <egretmount/placement/demand_rate.h>

#include <cmath>

namespace egretmount::placement {

namespace {

double decay(const DemandRate &rate, Milliseconds now)
{
    const double age = static_cast<double>((now - rate.updatedAt).count());
    return std::exp(-age / static_cast<double>(rateWindow.count()));
}

} // namespace

void noteArrival(DemandRate &rate, Milliseconds now)
{
    rate.perSecond = rate.perSecond * decay(rate, now)
        + 1'000.0 / static_cast<double>(rateWindow.count());
    rate.updatedAt = now;
}

void noteServed(DemandRate &rate, Milliseconds inHand)
{
    const double seconds = static_cast<double>(inHand.count()) / 1'000;
    rate.secondsInHand += (seconds - rate.secondsInHand) * timeSmoothing;
}

double expectedInHand(const DemandRate &rate, Milliseconds now)
{
    return rate.perSecond * decay(rate, now) * rate.secondsInHand;
}

} // namespace egretmount::placement
