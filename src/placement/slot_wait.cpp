#include <egretmount/placement/slot_wait.h>

#include <algorithm>

namespace egretmount::placement {

double expectedSlotWait(const fleet::EngineSpeed &speed, double requestsAtEngine,
                        double eventIntervalMs)
{
    const int slots = std::max(speed.slots, 1);
    if (requestsAtEngine < slots)
        return 0;
    const double eventsPerRequest =
        static_cast<double>(speed.typicalOutputTokens) / std::max(speed.stepsPerEvent, 1);
    const double meanTimeInSlotMs = eventsPerRequest * eventIntervalMs;
    return (requestsAtEngine - slots + 1) * meanTimeInSlotMs / slots;
}

} // namespace egretmount::placement
