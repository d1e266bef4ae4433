#include <egretmount/credit/takeover.h>

namespace egretmount::credit {

void recordOthersLoad(Takeover &takeover, const Capacity &others, Milliseconds receivedAt)
{
    if (receivedAt < takeover.holdOffEndsAt)
        return;
    takeover.minOthersLoad =
        takeover.hasSample ? componentMin(takeover.minOthersLoad, others) : others;
    takeover.hasSample = true;
}

Capacity usableGain(const Takeover &takeover, const Capacity &gained, Milliseconds now)
{
    if (now >= takeover.endsAt)
        return clampToZero(gained);
    if (now < takeover.holdOffEndsAt || !takeover.hasSample)
        return {};
    return clampToZero(gained - clampToZero(takeover.minOthersLoad));
}

} // namespace egretmount::credit
