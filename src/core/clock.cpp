#include <egretmount/core/clock.h>

#include <chrono>

namespace egretmount {

Milliseconds monotonicNow()
{
    const std::chrono::steady_clock::duration elapsed =
        std::chrono::steady_clock::now().time_since_epoch();
    return Milliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
}

} // namespace egretmount
