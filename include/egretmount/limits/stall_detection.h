#pragma once

#include <array>

#include <egretmount/core/clock.h>
#include <egretmount/core/names.h>
#include <egretmount/fleet/configuration.h>

namespace egretmount::limits {

/// @brief Recent activity of a stream and its target.
struct StreamActivity
{
    Milliseconds idleTime; ///< Since the stream's last event or, before the first, the sending.
    Milliseconds targetIdleTime; ///< Since the target last sent anything on any connection.
    bool isDecoding = false; ///< The first event has been received.
    Milliseconds eventGapTarget; ///< The route's target for the gap between two events.
    double expectedMs = 0; ///< Time to the first event, as estimated when the stream was placed.
    double backlogMs = 0; ///< Known prefill time of the target ahead of this stream.
};

/// @brief Minimum idle time after which a target counts as stalled.
///
/// The target must not have sent anything on any connection for this long, in addition to its known
/// prefill time. A working target sends an event to one of its streams every few hundred
/// milliseconds.
constexpr Milliseconds targetIdleTimeout = Milliseconds(1'000);

/// @brief Fraction of an idempotent request's lifetime after which it is retried on another target.
///
/// This is late enough for a busy target to respond and early enough for the retry to be served.
constexpr double stallTimeoutShare = 0.5;

/// @brief What a target's load report says.
enum class TargetState {
    Unresponsive, ///< There was no response.
    Idle, ///< It has no requests.
    Busy, ///< It has requests, or the report is unreadable.
};

/// @brief Greatest number of reports of a busy target that keep a request there.
///
/// A target that has lost the request looks as busy as one that is slow.
constexpr int maxBusyReports = 3;

/// @brief Returns whether a request should leave a target that counts as stalled.
///
/// A target with a long prefill is as silent as a failed one. Leaving it would discard the prefill,
/// and would load another target with it when all are busy.
/// @param busyReports Earlier reports of a busy target since the request was sent.
bool shouldLeaveStalledTarget(TargetState state, int busyReports);

/// @brief Returns how long a caller waits for the next event of a stream before it disconnects.
///
/// This is the longest of eight event-gap targets, four latency targets and two seconds.
Milliseconds clientTimeout(const fleet::Route &route);

/// @brief The same for a stream with these targets.
Milliseconds clientTimeout(Milliseconds latencyTarget, Milliseconds eventGapTarget);

/// @brief Returns whether a stream has stalled and should move to another target.
///
/// Both the stream and its target must have been idle for the timeout plus the target's known
/// prefill time.
bool isStalled(const StreamActivity &stream);

/// @brief Returns whether a request without events has stalled and should be sent elsewhere.
/// @param idleTime Time since the request was sent.
/// @param lifetime Time from the request's arrival to its deadline.
bool isStalled(Milliseconds idleTime, Milliseconds lifetime);

} // namespace egretmount::limits

template<>
struct egretmount::NameTable<egretmount::limits::TargetState>
{
    using TargetState = egretmount::limits::TargetState;
    static constexpr std::array<NameEntry<TargetState>, 3> entries { {
        { TargetState::Unresponsive, "unresponsive" },
        { TargetState::Idle, "idle" },
        { TargetState::Busy, "busy" },
    } };
};
