#pragma once

#include <egretmount/core/clock.h>

namespace egretmount::placement {

/// @brief A smoothed rate of arrivals and a smoothed time in hand, for one kind of request.
struct DemandRate
{
    Milliseconds window = Milliseconds(1'500); ///< Over which arrivals are averaged.
    double perSecond = 0;
    double secondsInFlight = 2; ///< Until measured: a short answer's usual writing time.
    Milliseconds updatedAt;
};

/// @brief Weight of a new time in hand against the earlier ones.
constexpr double secondsInFlightSmoothing = 0.05;

/// @brief Counts an arrival. @param amount One, or the work that it brings.
void recordArrival(DemandRate &rate, double amount, Milliseconds now);

/// @brief The rate at a time: arrivals, or the work that they bring, a second.
double currentRate(const DemandRate &rate, Milliseconds now);

/// @brief Counts the end of a request that was served.
void recordCompletion(DemandRate &rate, Milliseconds inFlight);

/// @brief Requests that are expected to be in hand at a time, from this instance's arrivals.
double expectedInFlight(const DemandRate &rate, Milliseconds now);

} // namespace egretmount::placement
