#pragma once

#include <cstdint>
#include <string>

#include <egretmount/core/ids.h>

namespace egretmount::routing {

/// @brief Load as reported by a target. It is outdated on arrival.
struct LoadReport
{
    std::uint64_t bootId = 0; ///< Changes with every start of the target.
    TokenCount usedTokens = 0; ///< Memory in use or reserved.
    std::int64_t usedSlots = 0; ///< Requests that the target holds.
    TokenCount waitingPromptTokens = 0; ///< Prompt tokens accepted and not prefilled.
    bool isWarm = false; ///< The target has shown that it sustains its full capacity.
    std::string modelVersion; ///< Version of the loaded model; empty if none.
};

} // namespace egretmount::routing
