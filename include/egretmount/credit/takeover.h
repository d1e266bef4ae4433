#pragma once

#include <egretmount/core/clock.h>
#include <egretmount/credit/capacity.h>

namespace egretmount::credit {

/// @brief Delays the use of capacity that another instance may still be using.
///
/// The former holder starts no more requests once it has adopted the new instance list. The
/// hold-off is long enough for that. Afterwards, the former holder's load can only decrease, so the
/// smallest load of others in any report since then is an upper bound of it. When the longest
/// possible deadline has passed, that load is zero.
struct Takeover
{
    Milliseconds holdOffEndsAt; ///< Reports received earlier are ignored.
    Milliseconds endsAt; ///< By then, all requests of the former holder have ended.
    Capacity minOthersLoad; ///< Smallest load of others in the reports since `holdOffEndsAt`.
    bool hasSample = false; ///< `minOthersLoad` is set.
};

/// @brief Records the load of other instances, as derived from a report.
/// @param others Upper bound of the capacity that other instances have in flight.
/// @param receivedAt When the report arrived.
void recordOthersLoad(Takeover &takeover, const Capacity &others, Milliseconds receivedAt);

/// @brief Returns the part of a gained capacity that its former holder certainly no longer uses.
/// @complexity Constant.
Capacity usableGain(const Takeover &takeover, const Capacity &gained, Milliseconds now);

} // namespace egretmount::credit
