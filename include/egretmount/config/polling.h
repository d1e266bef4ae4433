#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/core/random.h>

namespace egretmount::config {

/// @brief The last read of the platform that an instance knows of, its own or that of a peer.
struct PollState
{
    bool hasBeenRead = false; ///< True once any read is known.
    /// When an instance last read the platform, on this instance's clock.
    Milliseconds lastReadAt;
    /// When this instance reads the platform itself, unless it learns of a newer read before.
    Milliseconds fallbackAt;
};

/// @brief Next step of polling the platform.
enum class PollStep {
    Watch, ///< Long poll: wait at the platform for a newer document.
    Read, ///< Read once, without waiting for a newer document.
    Wait, ///< Rely on the peers and check again soon.
};

/// @brief Time since the last known read after which an instance reads the platform itself.
constexpr Milliseconds fallbackDelay = Milliseconds(5'000);

/// @brief Maximum random time added to `fallbackDelay`.
constexpr Milliseconds fallbackJitter = Milliseconds(10'000);

/// @brief Records a read of the platform by any instance; ignores reads older than the last one.
void recordRead(PollState &state, Milliseconds at, Random &random);

/// @brief Records a failed read by this instance; it tries again after the full fallback delay.
void recordFailedRead(PollState &state, Milliseconds now, Random &random);

/// @brief Chooses the next step.
///
/// Watchers always long-poll. Other instances read the platform if no read is known yet or if the
/// fallback delay has passed since the last one.
/// @complexity Constant.
PollStep nextStep(const PollState &state, bool isWatcher, Milliseconds now);

/// @brief Interval between reads of the instance list.
///
/// The interval grows with the list, so that all instances together make a bounded number of reads
/// per second.
Milliseconds listInterval(std::size_t listedInstances);

} // namespace egretmount::config
