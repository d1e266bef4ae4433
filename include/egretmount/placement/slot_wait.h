#pragma once

#include <egretmount/fleet/configuration.h>

namespace egretmount::placement {

/// @brief Estimates how long a request that is placed at an engine now waits for a slot.
///
/// The slots become free at an even pace: each after the mean time that a request holds one. The
/// requests beyond the slots that were placed earlier get theirs first.
/// @param requestsAtEngine Requests that the engine decodes or will decode, without the new one.
/// @param eventIntervalMs Time between two events of a stream of the engine, in milliseconds.
/// @return Milliseconds. Zero if a slot is free, and if the service has no typical output length.
double expectedSlotWait(const fleet::EngineSpeed &speed, double requestsAtEngine,
                        double eventIntervalMs);

} // namespace egretmount::placement
