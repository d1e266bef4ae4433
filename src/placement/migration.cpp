#include <egretmount/placement/migration.h>

namespace egretmount::placement {

namespace {

// Share of the client timeout that may be used. The rest covers the network and estimates that are
// too low.
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
