#include <egretmount/placement/migration.h>

namespace egretmount::placement {

namespace {

// Part of the patience that may be used up: the rest covers the link and estimates that fall short.
constexpr double clientTimeoutShare = 0.7;

bool isAbandoned(const StalledStream &stream, double untilNextEventMs)
{
    return stream.idleMs + untilNextEventMs > clientTimeoutShare * stream.clientTimeoutMs;
}

} // namespace

bool shouldMigrate(const StalledStream &stream, double stayMs, double moveMs)
{
    return isAbandoned(stream, stayMs) && !isAbandoned(stream, moveMs);
}

} // namespace egretmount::placement
