#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/credit/capacity.h>

namespace egretmount::credit {

/// @brief Guards capacity that another instance held before.
///
/// The former holder stops when its own list says so, which the hold-off waits for. What it still
/// has in flight can only fall from then on, so it is at most the least load of others that a
/// report has shown since; once the longest deadline has passed it is zero.
struct Takeover
{
    Milliseconds holdOffEndsAt; ///< Reports taken from now on count; end of the hold-off.
    Milliseconds endsAt; ///< Nothing of the former holder can be in flight any more.
    Capacity minOthersLoad; ///< Least load of others that a report has shown since `holdOffEndsAt`.
    bool hasSample = false;
};

/// @brief Takes in the load of others that a report shows.
/// @param others Upper bound of what others have in flight.
/// @param takenAt When the report arrived.
void recordOthersLoad(Takeover &takeover, const Capacity &others, Milliseconds receivedAt);

/// @brief The part of a gained capacity that is surely unused by its former holder.
/// @complexity Constant.
Capacity usableGain(const Takeover &takeover, const Capacity &gained, Milliseconds now);

} // namespace egretmount::credit
