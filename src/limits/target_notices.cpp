#include <egretmount/limits/target_notices.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace egretmount::limits {

namespace {

const TargetNotice *findNotice(const TargetNotices &notices, const fleet::TargetEntry &target)
{
    const auto found = notices.byTarget.find(target.id);
    if (found == notices.byTarget.end() || found->second.startedAt != target.startedAt)
        return nullptr;
    return &found->second;
}

// The notice of an incarnation, or null if a later one has sent notices already.
TargetNotice *noticeOf(TargetNotices &notices, const TargetId &target, std::int64_t startedAt)
{
    TargetNotice &notice = notices.byTarget[target];
    if (startedAt < notice.startedAt)
        return nullptr;
    if (startedAt > notice.startedAt) {
        notice = {};
        notice.startedAt = startedAt;
    }
    return &notice;
}

} // namespace

TurnAway turnAwayOf(std::optional<double> statedSeconds)
{
    if (!statedSeconds || std::isnan(*statedSeconds) || *statedSeconds < 0)
        return { malformedTurnAway, true };
    const double milliseconds = std::ceil(*statedSeconds * 1'000);
    if (milliseconds > static_cast<double>(maxTurnAway.count()))
        return { maxTurnAway, true };
    return { Milliseconds(static_cast<std::int64_t>(milliseconds)), false };
}

Milliseconds spreadReturn(Milliseconds delay, std::uint64_t randomBits)
{
    const std::int64_t spread =
        std::clamp<std::int64_t>(delay.count() / 4, 0, maxReturnSpread.count());
    return delay
           + Milliseconds(
               static_cast<std::int64_t>(randomBits % static_cast<std::uint64_t>(spread + 1)));
}

bool recordLeaving(TargetNotices &notices, const TargetId &target, std::int64_t startedAt,
                   Milliseconds now)
{
    TargetNotice *notice = noticeOf(notices, target, startedAt);
    if (notice == nullptr)
        return false;
    notice->heardAt = now;
    return !std::exchange(notice->isLeaving, true);
}

bool recordTurnedAway(TargetNotices &notices, const TargetId &target, std::int64_t startedAt,
                      Milliseconds until, Milliseconds now)
{
    TargetNotice *notice = noticeOf(notices, target, startedAt);
    if (notice == nullptr)
        return false;
    const bool isFirst = notice->turnedAwayUntil <= now;
    notice->heardAt = now;
    notice->turnedAwayUntil = std::max(notice->turnedAwayUntil, until);
    return isFirst && until > now;
}

bool isLeaving(const TargetNotices &notices, const fleet::TargetEntry &target)
{
    const TargetNotice *notice = findNotice(notices, target);
    return notice != nullptr && notice->isLeaving;
}

bool isTurnedAway(const TargetNotices &notices, const fleet::TargetEntry &target, Milliseconds now)
{
    const TargetNotice *notice = findNotice(notices, target);
    return notice != nullptr && now < notice->turnedAwayUntil;
}

bool acceptsWork(const TargetNotices &notices, const fleet::TargetEntry &target, Milliseconds now)
{
    return !isLeaving(notices, target) && !isTurnedAway(notices, target, now);
}

std::optional<Milliseconds> timeUntilReturn(const TargetNotices &notices,
                                            const std::vector<const fleet::Target *> &targets,
                                            Milliseconds now)
{
    std::optional<Milliseconds> earliest;
    for (const fleet::Target *target : targets) {
        const TargetNotice *notice = findNotice(notices, target->entry);
        if (notice != nullptr && notice->isLeaving)
            continue;
        const Milliseconds left = notice == nullptr
                                      ? Milliseconds()
                                      : std::max(notice->turnedAwayUntil - now, Milliseconds());
        earliest = std::min(earliest.value_or(left), left);
    }
    return earliest;
}

bool shouldAwaitReturn(Milliseconds waitTime, Milliseconds latencyTarget, Milliseconds lifetime)
{
    const double longest = maxReturnWaitShare * static_cast<double>(latencyTarget.count());
    return waitTime < lifetime && static_cast<double>(waitTime.count()) <= longest;
}

void removeOutdated(TargetNotices &notices, const fleet::TargetTable &table, Milliseconds now)
{
    for (auto position = notices.byTarget.begin(); position != notices.byTarget.end();) {
        const TargetNotice &notice = position->second;
        const auto listed = table.targets.find(position->first);
        const bool isListed =
            listed != table.targets.end() && listed->second.entry.startedAt <= notice.startedAt;
        const bool hasEffect = notice.isLeaving || now < notice.turnedAwayUntil;
        const bool isKept =
            hasEffect && (isListed || now - notice.heardAt < unlistedNoticeLifetime);
        position = isKept ? std::next(position) : notices.byTarget.erase(position);
    }
}

} // namespace egretmount::limits
