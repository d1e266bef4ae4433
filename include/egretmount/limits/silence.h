#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/fleet/configuration.h>

namespace egretmount::limits {

/// @brief What is known of a stream whose target may be gone.
struct StreamSilence
{
    Milliseconds quiet; ///< Since the stream's last event, or since it was sent.
    Milliseconds unheard; ///< Since the target last sent anything on any connection.
    bool isWriting = false; ///< The first event has come.
    Milliseconds eventGapTarget;
    double expectedMs = 0; ///< Until the first event, as expected at the placement.
    double backlogMs = 0; ///< Reading that the target is known to have before it.
};

/// @brief A target that sends nothing on any connection for this long, beyond the time that its
///        known reading takes, may be gone.
///
/// A living one sends an event to some stream every few hundred milliseconds.
constexpr Milliseconds silentTarget = Milliseconds(1'000);

/// @brief Part of an idempotent request's time after which it is repeated elsewhere: late enough
/// for
///        a busy target, early enough for a second one.
constexpr double plainSilenceShare = 0.5;

/// @brief How long a caller waits for the next event of a stream before it leaves.
///
/// Eight pause targets, four latency targets or two seconds, whichever is longest.
Milliseconds patienceOf(const fleet::Route &route);

/// @brief True if a stream should look for another target.
bool isSilent(const StreamSilence &stream);

/// @brief True if a request without events should look for another target.
/// @param quiet Since it was sent. @param life From its arrival to its end.
bool isSilent(Milliseconds quiet, Milliseconds life);

} // namespace egretmount::limits
