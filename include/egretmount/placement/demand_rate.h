#pragma once

#include <egretmount/core/clock.h>

namespace egretmount::placement {

/// @brief A smoothed rate of arrivals and a smoothed time in hand, for one kind of request.
struct DemandRate
{
    double perSecond = 0;
    double secondsInHand = 2; ///< Until measured: a short answer's usual writing time.
    Milliseconds updatedAt;
};

/// @brief Time over which arrivals are averaged: waves are to be followed within a second or two.
constexpr Milliseconds rateWindow = Milliseconds(1'500);

/// @brief Weight of a new time in hand against the earlier ones.
constexpr double timeSmoothing = 0.05;

/// @brief Counts an arrival.
void noteArrival(DemandRate &rate, Milliseconds now);

/// @brief Counts the end of a request that was served.
void noteServed(DemandRate &rate, Milliseconds inHand);

/// @brief Requests that are expected to be in hand at a time, from this instance's arrivals.
double expectedInHand(const DemandRate &rate, Milliseconds now);

} // namespace egretmount::placement
