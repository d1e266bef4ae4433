#include <egretmount/fleet/registry_contact.h>

#include <algorithm>
#include <limits>

namespace egretmount::fleet {

namespace {

// Several absences can follow each other within the time that targets have to return.
constexpr std::size_t maxAbsences = 8;
// Reports of one absence by several instances differ by the delays of messages.
constexpr Milliseconds reportTolerance = Milliseconds(250);

// Returns the longest part of an absence in which the registry was not reached.
RegistryAbsence withoutContact(const RegistryContact &contact, const RegistryAbsence &absence)
{
    if (!contact.hasContact || contact.contactSince > absence.until
        || contact.contactUntil < absence.from)
        return absence;
    const RegistryAbsence before { absence.from, std::max(absence.from, contact.contactSince) };
    const RegistryAbsence after { std::min(absence.until, contact.contactUntil), absence.until };
    return before.until - before.from > after.until - after.from ? before : after;
}

bool isLongEnough(const RegistryContact &contact, const RegistryAbsence &absence)
{
    return absence.until - absence.from >= minLapseTime(contact);
}

void insert(RegistryContact &contact, const RegistryAbsence &absence)
{
    const auto position = std::upper_bound(
        contact.absences.begin(), contact.absences.end(), absence,
        [](const RegistryAbsence &a, const RegistryAbsence &b) { return a.until < b.until; });
    contact.absences.insert(position, absence);
    if (contact.absences.size() > maxAbsences)
        contact.absences.pop_front();
}

std::deque<RegistryAbsence>::iterator findEndingAt(RegistryContact &contact, Milliseconds until)
{
    return std::find_if(
        contact.absences.begin(), contact.absences.end(), [&](const RegistryAbsence &known) {
            return known.until <= until + reportTolerance && until <= known.until + reportTolerance;
        });
}

} // namespace

Milliseconds minLapseTime(const RegistryContact &contact)
{
    return contact.heartbeatInterval;
}

void recordContact(RegistryContact &contact, Milliseconds at)
{
    if (!contact.hasContact || at > contact.contactUntil + maxContactGap) {
        contact.contactSince = contact.contactUntil = at;
        contact.hasContact = true;
    } else {
        contact.contactUntil = std::max(contact.contactUntil, at);
        if (at + maxContactGap >= contact.contactSince)
            contact.contactSince = std::min(contact.contactSince, at);
    }
    if (contact.lostAt && at > *contact.lostAt)
        contact.lostAt = at;
    for (RegistryAbsence &absence : contact.absences) {
        if (!absence.isRestoration && at > absence.from && at < absence.until - reportTolerance)
            absence.from = at;
    }
    contact.absences.erase(std::remove_if(contact.absences.begin(), contact.absences.end(),
                                          [&](const RegistryAbsence &absence) {
                                              return !absence.isRestoration
                                                     && !isLongEnough(contact, absence);
                                          }),
                           contact.absences.end());
}

void recordLoss(RegistryContact &contact, Milliseconds since)
{
    if (!contact.lostAt)
        contact.lostAt = contact.hasContact ? std::max(since, contact.contactUntil) : since;
}

std::optional<RegistryAbsence> recordReturn(RegistryContact &contact, Milliseconds now)
{
    std::optional<RegistryAbsence> ended;
    if (contact.lostAt) {
        const RegistryAbsence absence { *contact.lostAt, now };
        contact.lostAt.reset();
        if (isLongEnough(contact, absence)) {
            // The contact after an absence must not be taken for contact throughout.
            contact.contactSince = contact.contactUntil = now;
            contact.hasContact = true;
            insert(contact, absence);
            ended = absence;
        }
    }
    recordContact(contact, now);
    return ended;
}

bool recordReportedAbsence(RegistryContact &contact, const RegistryAbsence &absence)
{
    const RegistryAbsence part = withoutContact(contact, absence);
    if (!isLongEnough(contact, part) || findEndingAt(contact, part.until) != contact.absences.end())
        return false;
    insert(contact, part);
    return true;
}

void recordRestoration(RegistryContact &contact, Milliseconds at)
{
    const auto known = findEndingAt(contact, at);
    if (known != contact.absences.end())
        known->isRestoration = true;
    else
        insert(contact, { at - minLapseTime(contact), at, true });
}

std::optional<Milliseconds> returnLimit(const RegistryContact &contact, Milliseconds removedAt)
{
    std::optional<Milliseconds> limit;
    for (const RegistryAbsence &absence : contact.absences) {
        const Milliseconds end = absence.until + reregistrationTime;
        const bool isDuring = absence.from <= removedAt && removedAt <= end;
        // A target that could not return before the next absence began returns after it.
        const bool isInterrupted = limit && absence.from <= *limit;
        if (isDuring || isInterrupted)
            limit = std::max(limit.value_or(end), end);
    }
    if (limit && contact.lostAt && *contact.lostAt <= *limit)
        return Milliseconds(std::numeric_limits<std::int64_t>::max());
    return limit;
}

} // namespace egretmount::fleet
