#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/core/random.h>

namespace egretmount::config {

/// @brief What an instance knows of the last read of the platform, its own or another's.
struct PollState
{
    bool hasBeenRead = false; ///< True once any read is known of.
    Milliseconds lastReadAt; ///< When the platform was last read by an instance, on this clock.
    Milliseconds fallbackAt; ///< When to read it oneself if nobody else does.
};

/// @brief What to do next about the platform.
enum class PollStep {
    Watch, ///< Wait at the platform for a newer document.
    Read, ///< One read without waiting.
    Wait, ///< Rely on the peers and look again soon.
};

/// @brief Silence about the platform after which an instance reads it itself.
constexpr Milliseconds fallbackDelay = Milliseconds(5'000);

/// @brief Longest random time added to `fallbackDelay`.
constexpr Milliseconds fallbackJitter = Milliseconds(10'000);

/// @brief Notes that an instance read the platform at a time.
void recordRead(PollState &state, Milliseconds at, Random &random);

/// @brief Notes an own attempt that failed: the next one waits for the whole silence again.
void recordFailedRead(PollState &state, Milliseconds now, Random &random);

/// @brief Chooses the next step. Watchers watch; others read only after a silence.
/// @complexity Constant.
PollStep nextStep(const PollState &state, bool isWatcher, Milliseconds now);

/// @brief Interval between reads of the instance list.
///
/// It grows with the list, so that all instances together make a bounded number of reads a second.
Milliseconds listInterval(std::size_t listedInstances);

} // namespace egretmount::config
