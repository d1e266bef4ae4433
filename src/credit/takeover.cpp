#include <egretmount/credit/takeover.h>

namespace egretmount::credit {

void noteOthers(Takeover &takeover, const Capacity &others, Milliseconds takenAt)
{
    if (takenAt < takeover.opensAt)
        return;
    takeover.leastOthers = takeover.hasSample ? least(takeover.leastOthers, others) : others;
    takeover.hasSample = true;
}

Capacity openPart(const Takeover &takeover, const Capacity &gained, Milliseconds now)
{
    if (now >= takeover.endsAt)
        return orZero(gained);
    if (now < takeover.opensAt || !takeover.hasSample)
        return {};
    return orZero(gained - orZero(takeover.leastOthers));
}

} // namespace egretmount::credit
