#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

#include "http/client.h"

namespace egretmount::platform {

/// @brief Reads from the platform, one call at a time. The calls block; not for the loop's thread.
class Client
{
public:
    /// @param address `IP:port` of the platform.
    explicit Client(std::string address);

    /// @brief Reads the fleet document.
    /// @param above Only a document with a higher version is wanted.
    /// @param wait The platform holds the call for this long until there is one.
    /// @return The text; nothing if there is no newer document.
    /// @throws std::exception if the platform cannot be read or `abort` was called.
    std::optional<std::string> readFleet(ConfigVersion above, Milliseconds wait);

    /// @brief Reads the instance list.
    /// @throws std::exception if the platform cannot be read or `abort` was called.
    std::string readInstances();

    /// @brief Makes the call in hand and all later ones fail at once. Any thread.
    void abort();

private:
    std::unique_ptr<http::Reply> fetch(const std::string &path, Milliseconds ioTimeout);

    std::string m_address;
    std::mutex m_mutex;
    std::shared_ptr<http::ClientCall> m_call; // guarded by m_mutex
    bool m_isAborted = false; // guarded by m_mutex
};

/// @brief One read of the fleet document by a client of its own.
/// @throws std::exception if the platform cannot be read.
std::optional<std::string> readFleet(const std::string &address, ConfigVersion above,
                                     Milliseconds wait);

} // namespace egretmount::platform
