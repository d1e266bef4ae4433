#include <egretmount/limits/retry_after.h>

#include <algorithm>

namespace egretmount::limits {

Milliseconds configurationWait(std::optional<Milliseconds> timeLeft)
{
    return std::min(maxConfigurationWait, timeLeft.value_or(maxConfigurationWait) / 4);
}

Milliseconds outageRetryDelay(std::optional<Milliseconds> timeLeft, std::uint64_t randomBits)
{
    const Milliseconds maxDelay =
        std::min(maxOutageRetryDelay, timeLeft.value_or(maxOutageRetryDelay) / 2);
    const std::int64_t spread = maxDelay.count() / 4;
    return maxDelay
           - Milliseconds(
               static_cast<std::int64_t>(randomBits % static_cast<std::uint64_t>(spread + 1)));
}

} // namespace egretmount::limits
