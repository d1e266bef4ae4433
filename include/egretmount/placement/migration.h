#pragma once

namespace egretmount::placement {

/// @brief A stream whose engine has begun to read a long prompt.
///
/// An engine reads what came last first, and its streams stand still meanwhile.
struct StalledStream
{
    double idleMs = 0; ///< Since its last event, or since it was sent.
    double clientTimeoutMs = 0; ///< The caller leaves after this without an event.
};

/// @brief Shorter reading never makes a caller leave: patience is 2 s at least.
constexpr double minMigrationPrefillMs = 1'000;

/// @brief True if a stream has to go on at another engine to keep its caller.
/// @param stayMs Until its engine has read what it has to read.
/// @param moveMs Until its next event from the other engine.
///
/// A stream that would only be late stays: a move costs the reading of its prompt and, at the other
/// engine, the time of others.
bool shouldMigrate(const StalledStream &stream, double stayMs, double moveMs);

} // namespace egretmount::placement
