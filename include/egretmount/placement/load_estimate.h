#pragma once

#include <cstddef>
#include <cstdint>

#include <egretmount/core/clock.h>
#include <egretmount/placement/demand_rate.h>
#include <egretmount/placement/load_tracker.h>

namespace egretmount::placement {

/// @brief Typical time from a placement until the other instances know of it.
///
/// Placements are announced without a flush delay (`peer_service.cpp`). A hop between zones takes
/// up to 3 ms. The rest is the time until both instances have the processor: with an eighth of a
/// core, 1 ms of work in the event loop takes 8 ms.
constexpr Milliseconds announcementDelay = Milliseconds(20);

/// @brief Most unannounced arrivals that are taken into account for one placement; bounds its time.
constexpr double maxUnannouncedArrivals = 32;

/// @brief Costs that differ by less than this share of the request's weight count as equal.
///
/// The estimated time to the first event is off by about a fifth. At the latency target, this is a
/// cost of 0.016 of the weight. A short prompt whose prefill is pending costs slightly more than
/// this margin, so engines with and without one are not equally good.
constexpr double equalCostMargin = 0.01;

/// @brief Estimates how many short requests the other instances of the cell have placed that this
///        instance does not know of yet.
/// @param received Short requests received in the cell, those of this instance included.
/// @param instances Number of instances in the cell, with this one. With fewer than two, none are
///        expected.
/// @return At most `maxUnannouncedArrivals`.
double unannouncedArrivals(const DemandRate &received, std::size_t instances, Milliseconds now);

/// @brief Estimates which share of the decoding requests of other instances has ended already.
///
/// Ends are announced in batches, so an engine seems to hold requests that have left it. Without
/// this estimate, engines with a free slot count as full at a high load.
/// @param meanDelay Mean time from an end until it is announced.
/// @param secondsInFlight Mean time of a request at an engine.
double unannouncedEndShare(Milliseconds meanDelay, double secondsInFlight);

/// @brief Returns the number of short requests that are known to be in flight: the tracked ones and
///        those that engines have reported beyond them.
///
/// If some instances are cut off, nothing announces their requests, but the engines still report
/// them. The tracked requests alone would make the short pool too small then. Of other cells'
/// requests only a part is known, so the number is a lower bound.
/// @complexity Linear in the tracked requests and the engines.
double knownShortRequests(const LoadTracker &tracker, Milliseconds now);

/// @brief Returns a number from 0 up to, but not including, 1 that is evenly distributed over the
///        seeds and the keys. The same arguments give the same number.
double randomShare(std::uint64_t seed, std::uint64_t key);

} // namespace egretmount::placement
