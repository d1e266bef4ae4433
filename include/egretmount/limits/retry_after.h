#pragma once

#include <cstdint>
#include <optional>

#include <egretmount/core/clock.h>

namespace egretmount::limits {

/// @brief Longest delay named to a caller while the configuration is unknown.
///
/// Outages of the store last some seconds; a caller that tries once more should meet its end.
constexpr Milliseconds maxOutageRetryDelay = Milliseconds(2'000);

/// @brief Longest time that a request waits for the first configuration.
///
/// Other instances or the store tell it within milliseconds of a start, unless both are away.
constexpr Milliseconds maxConfigurationWait = Milliseconds(2'000);

/// @brief How long a request may wait for the configuration before it is refused.
///
/// At most a quarter of the time that the caller still waits: the rest is for its answer or for a
/// second try.
/// @param left How long the caller waits; nothing if it does not say.
Milliseconds configurationWait(std::optional<Milliseconds> timeLeft);

/// @brief When a caller is to come back that was refused because the configuration is unknown.
///
/// At most half of the time that the caller still waits, so that the second try can be served.
/// Spread over the last quarter of the delay, so that callers do not all return at once.
/// @param left How long the caller waits; nothing if it does not say.
/// @param draw Random bits.
Milliseconds outageRetryDelay(std::optional<Milliseconds> timeLeft, std::uint64_t randomBits);

} // namespace egretmount::limits
