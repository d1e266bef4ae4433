#pragma once

namespace egretmount::placement {

/// @brief A stream whose engine has started the prefill of a long prompt.
///
/// An engine prefills the prompt that arrived last first, and its streams stall until it is done.
struct StalledStream
{
    double idleMs = 0; ///< Since its last event or, before the first one, since it was sent.
    double clientTimeoutMs = 0; ///< The client disconnects after this time without an event.
};

/// @brief Shortest prefill of a shard after which the streams of its engine may migrate.
///
/// Shorter prefills never cause a disconnect: client timeouts are at least 2 s.
constexpr double minMigrationPrefillMs = 1'000;

/// @brief True if a stream must migrate to another engine because its client would disconnect
///        otherwise.
///
/// A stream that would only be late is not migrated: a migration repeats the prefill of its prompt
/// and delays other requests at the new engine.
/// @param stayMs Time until its current engine has finished its prefill backlog.
/// @param moveMs Time until its next event if it is migrated.
bool shouldMigrate(const StalledStream &stream, double stayMs, double moveMs);

} // namespace egretmount::placement
