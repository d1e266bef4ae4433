#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::credit {

/// @brief Times and bounds of the detection of a cold target.
struct WarmupSettings
{
    /// Reports that arrive this soon after a jump of first-token times may be from before it.
    Milliseconds reportLag = Milliseconds(400);
    double slowFactor = 8; ///< A time above the median by this factor counts as slow.
    Milliseconds minSlowTime =
        Milliseconds(500); ///< Shorter first-token times never count as slow.
    int slowSamplesUntilCold = 3; ///< So many slow ones in a row make the target cold.
};

/// @brief What is known of whether one target is warm. Unknown means cold.
struct WarmupState
{
    std::optional<std::uint64_t> bootId;
    bool isWarm = false;
    Milliseconds lastReport;
    Milliseconds ignoreWarmUntil; ///< Reports before do not make the target warm.
    std::vector<double> samples; ///< The last first-token times for each prompt token, as a ring.
    std::size_t nextSample = 0;
    int consecutiveSlow = 0;
};

/// @brief Takes in a report. Only the target's own word makes it warm; a new boot starts cold.
/// @return True if the target has restarted since the last report.
bool recordWarmupReport(WarmupState &warmup, std::uint64_t bootId, bool isWarm, Milliseconds now);

/// @brief Takes in a first-token time, normalised by the length of the prompt.
/// @return True if it has just made the target cold.
/// @complexity Linear in the number of times kept, which is constant.
bool recordFirstTokenTime(WarmupState &warmup, const WarmupSettings &settings,
                          TokenCount promptTokens, Milliseconds took, Milliseconds now);

} // namespace egretmount::credit
