#pragma once

#include <deque>
#include <optional>

#include <egretmount/core/clock.h>

namespace egretmount::fleet {

/// @brief A time in which no instance is known to have reached the registry.
struct RegistryAbsence
{
    Milliseconds from;
    Milliseconds until; ///< When the registry responded again.
    bool isRestoration = false; ///< It came back from an older copy; contact disproves nothing.
};

/// @brief What an instance knows of when the registry was reached, by itself and by others.
///
/// `returnLimit` answers the question that an unannounced removal raises: can the target be alive,
/// because its entry expired in an absence of the registry? A call that failed does not mean so,
/// and neither does the number of targets that are removed together.
///
/// @code
/// recordLoss(contact, lastResponseAt);           // a call has failed
/// recordReturn(contact, now);                    // a later call has succeeded
/// returnLimit(contact, now);                     // a removal that it returned: kept until then
/// @endcode
struct RegistryContact
{
    /// Interval at which targets renew their entries; an entry expires after three of silence.
    Milliseconds heartbeatInterval = Milliseconds(1'200);
    bool hasContact = false;
    Milliseconds contactSince; ///< Begin of the time without a gap in which it was reached.
    Milliseconds contactUntil;
    std::optional<Milliseconds> lostAt; ///< Begin of an absence that may not have ended.
    std::deque<RegistryAbsence> absences; ///< That may have cost entries, the latest last.
};

/// @brief Time from the return of the registry within which live targets write their entries again:
///        about two seconds by the platform's protocol, and some time until this instance knows.
constexpr Milliseconds reregistrationTime = Milliseconds(2'300);

/// @brief Times at which instances report to have reached the registry lie at most this far apart
///        while they do: the wait of one watch and the time of a response.
constexpr Milliseconds maxContactGap = Milliseconds(2'800);

/// @brief Returns the least absence that can cost an entry: an entry expires after three intervals
///        of silence, of which one may pass before the absence and one after it.
Milliseconds minLapseTime(const RegistryContact &contact);

/// @brief Records that this or another instance reached the registry. Absences that span the time
///        begin after it, and those that become too short are dropped.
/// @param at When it did; may lie in the past.
void recordContact(RegistryContact &contact, Milliseconds at);

/// @brief Records that calls of this instance fail.
/// @param since When the registry was last known to respond.
void recordLoss(RegistryContact &contact, Milliseconds since);

/// @brief Records that a call of this instance succeeded.
/// @return The absence that has ended, if it may have cost entries.
std::optional<RegistryAbsence> recordReturn(RegistryContact &contact, Milliseconds now);

/// @brief Records an absence that another instance has reported.
/// @return False if it is known already, too short to have cost an entry, or contradicted by the
///         contact of this and other instances.
bool recordReportedAbsence(RegistryContact &contact, const RegistryAbsence &absence);

/// @brief Records that the registry came back from an older copy, which may lack any entry.
void recordRestoration(RegistryContact &contact, Milliseconds at);

/// @brief Returns whether a removal can come from an absence of the registry, and if so, until when
///        the target may still write its entry again.
/// @param removedAt When this instance learned of the removal.
/// @return Nothing if the removal is none of an absence; the greatest time while the registry is
///         absent again.
std::optional<Milliseconds> returnLimit(const RegistryContact &contact, Milliseconds removedAt);

} // namespace egretmount::fleet
