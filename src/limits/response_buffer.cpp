#include <egretmount/limits/response_buffer.h>

#include <algorithm>

namespace egretmount::limits {

namespace {

constexpr double bytesPerMb = 1024.0 * 1024.0;

} // namespace

std::size_t responseBuffer(std::optional<double> memoryMb, std::size_t requests)
{
    if (!memoryMb)
        return maxResponseBuffer;
    const double count = std::max(static_cast<double>(requests), 1.0);
    const double share = *memoryMb * bytesPerMb * responseMemoryShare / count;
    return static_cast<std::size_t>(std::clamp(share, static_cast<double>(minResponseBuffer),
                                               static_cast<double>(maxResponseBuffer)));
}

} // namespace egretmount::limits
