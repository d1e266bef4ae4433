#pragma once

#include <cstdint>
#include <optional>

#include <egretmount/core/clock.h>

namespace egretmount::limits {

/// @brief Maximum retry delay returned to a caller while the configuration is unknown.
///
/// Outages of the store last a few seconds; a caller that retries once should find it available
/// again.
constexpr Milliseconds maxOutageRetryDelay = Milliseconds(2'000);

/// @brief Maximum time that a request waits for the first configuration.
///
/// After a start, another instance or the store sends the configuration within milliseconds, unless
/// none of them is available.
constexpr Milliseconds maxConfigurationWait = Milliseconds(2'000);

/// @brief Returns how long a request may wait for the configuration before it is refused.
///
/// This is at most a quarter of the caller's remaining time; the rest is left for the response or
/// for a retry.
/// @param timeLeft Time until the caller's deadline, if it sent one.
Milliseconds configurationWait(std::optional<Milliseconds> timeLeft);

/// @brief Returns the retry delay for a caller that is refused while the configuration is unknown.
///
/// The delay is at most half of the caller's remaining time, so that the retry can be served.
/// Jitter shortens it by up to a quarter, so that callers do not all return at once.
/// @param timeLeft Time until the caller's deadline, if it sent one.
/// @param randomBits Source of the jitter.
Milliseconds outageRetryDelay(std::optional<Milliseconds> timeLeft, std::uint64_t randomBits);

} // namespace egretmount::limits
