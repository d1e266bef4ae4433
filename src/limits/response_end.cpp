#include <egretmount/limits/response_end.h>

namespace egretmount::limits {

bool isEndConfirmed(const EndReport &report, std::int64_t startedAt)
{
    if (!report.hasResponded || startedAt == 0)
        return report.hasResponded;
    return report.startedAt == 0 ? !report.lacksStamp : report.startedAt == startedAt;
}

bool hasRestartedOrEnded(const EndReport &report, std::int64_t startedAt)
{
    const bool hasRestarted = report.hasResponded && startedAt != 0 && report.startedAt != 0
                              && report.startedAt != startedAt;
    return !report.isListening || hasRestarted;
}

bool isEndUncertain(const EndReport &report, int checks)
{
    return report.isListening && !report.hasResponded && checks < maxEndChecks;
}

} // namespace egretmount::limits
