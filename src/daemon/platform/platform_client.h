#pragma once

#include <optional>
#include <string>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

namespace egretmount::platform {

/// @brief Reads the fleet document. Blocks; not for the loop's thread.
/// @param address `IP:port` of the platform.
/// @param above Only a document with a higher version is wanted.
/// @param wait The platform holds the call for this long until there is one.
/// @return The text; nothing if there is no newer document.
/// @throws std::exception if the platform cannot be read.
std::optional<std::string> readFleet(const std::string &address, ConfigVersion above,
                                     Milliseconds wait);

/// @brief Reads the instance list. Blocks; not for the loop's thread.
/// @throws std::exception if the platform cannot be read.
std::string readInstances(const std::string &address);

} // namespace egretmount::platform
