#pragma once

#include <cstdint>

namespace egretmount::tests {

/// @brief How the network cuts one instance off from all targets.
enum class CutMode : std::uint8_t {
    None,
    Hang, ///< Nothing arrives, on new connections and on established ones.
    Reset, ///< Established connections end, new ones are refused.
    RefuseNew, ///< Established connections live on, new ones are refused.
};

} // namespace egretmount::tests
