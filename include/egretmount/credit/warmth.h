#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::credit {

/// @brief Thresholds for the detection of a cold target by its first-token times.
struct WarmupSettings
{
    /// Reports that arrive within this time after the detection may have been made before it.
    Milliseconds reportLag = Milliseconds(400);
    /// A first-token time counts as slow if it exceeds the median by this factor.
    double slowFactor = 8;
    /// First-token times up to this value never count as slow.
    Milliseconds minSlowTime = Milliseconds(500);
    /// Number of consecutive slow times after which the target counts as cold.
    int slowSamplesUntilCold = 3;
};

/// @brief Tracks whether a target is warm. It counts as cold until it reports that it is warm.
struct WarmupState
{
    std::optional<std::uint64_t> bootId;
    bool isWarm = false;
    Milliseconds lastReport;
    Milliseconds ignoreWarmUntil; ///< Earlier reports that the target is warm are ignored.
    /// Ring buffer of recent first-token times, each divided by the length of the prompt plus the
    /// fixed cost of a prompt in tokens.
    std::vector<double> samples;
    std::size_t nextSample = 0; ///< Index of the oldest entry of a full `samples`.
    int consecutiveSlow = 0;
};

/// @brief Records a report of the target. Only such a report can make the target warm.
/// @param bootId Identifies the process of the target.
/// @return True if the target has restarted since the last report. A restarted target is cold.
bool recordWarmupReport(WarmupState &warmup, std::uint64_t bootId, bool isWarm, Milliseconds now);

/// @brief Records a first-token time and compares it with earlier ones.
/// @param took Time from sending the prompt to the first token.
/// @return True if the target has just become cold by this sample.
/// @complexity Constant, as the number of stored samples is bounded.
bool recordFirstTokenTime(WarmupState &warmup, const WarmupSettings &settings,
                          TokenCount promptTokens, Milliseconds took, Milliseconds now);

} // namespace egretmount::credit
