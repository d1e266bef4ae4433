#pragma once

#include <egretmount/core/clock.h>

namespace egretmount::placement {

/// @brief Exponentially weighted averages of the arrival rate and of the time in flight, for one
///        class of requests.
struct DemandRate
{
    Milliseconds window = Milliseconds(1'500); ///< Time constant of the arrival rate.
    double perSecond = 0; ///< At `updatedAt`; use `currentRate` to read it.
    double secondsInFlight = 2; ///< Starts at the typical decode time of a short answer.
    Milliseconds updatedAt;
};

/// @brief Weight of a new sample in the moving average of the time in flight.
constexpr double secondsInFlightSmoothing = 0.05;

/// @brief Records an arrival.
/// @param amount One, to measure requests per second, or the prefill time of the request.
void recordArrival(DemandRate &rate, double amount, Milliseconds now);

/// @brief Returns the rate at a time: the sum of the recorded amounts per second.
double currentRate(const DemandRate &rate, Milliseconds now);

/// @brief Records the time that a completed request was in flight.
void recordCompletion(DemandRate &rate, Milliseconds inFlight);

/// @brief Estimates the number of requests in flight as the arrival rate times the time in flight
///        (Little's law). Only arrivals at this instance count.
double expectedInFlight(const DemandRate &rate, Milliseconds now);

} // namespace egretmount::placement
