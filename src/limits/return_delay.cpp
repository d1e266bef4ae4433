#include <egretmount/limits/return_delay.h>

#include <algorithm>

namespace egretmount::limits {

Milliseconds waitInOutage(std::optional<Milliseconds> left)
{
    return std::min(longestOutageWait, left.value_or(longestOutageWait) / 4);
}

Milliseconds delayInOutage(std::optional<Milliseconds> left, std::uint64_t draw)
{
    const Milliseconds longest =
        std::min(longestOutageDelay, left.value_or(longestOutageDelay) / 2);
    const std::int64_t spread = longest.count() / 4;
    return longest
           - Milliseconds(static_cast<std::int64_t>(draw % static_cast<std::uint64_t>(spread + 1)));
}

} // namespace egretmount::limits
