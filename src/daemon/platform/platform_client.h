#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <egretmount/core/clock.h>
#include <egretmount/core/ids.h>

#include "http/client.h"

namespace egretmount::platform {

/// @brief A blocking client for the platform's API that makes one call at a time. Must not be used
///        on the thread of the event loop.
class Client
{
public:
    /// @param address `IP:port` of the platform.
    explicit Client(std::string address);

    /// @brief Fetches the fleet document (long polling).
    /// @param above Only a document with a higher version is returned.
    /// @param wait How long the platform waits for such a document before it responds.
    /// @return The text of the document, or `std::nullopt` if there is no newer one.
    /// @throws std::exception if the platform cannot be read or `abort` was called.
    std::optional<std::string> readFleet(ConfigVersion above, Milliseconds wait);

    /// @brief Fetches the instance list.
    /// @throws std::exception if the platform cannot be read or `abort` was called.
    std::string readInstances();

    /// @brief Makes the current call and all later ones fail immediately. May be called from any
    ///        thread.
    void abort();

private:
    std::unique_ptr<http::Reply> fetch(const std::string &path, Milliseconds ioTimeout);

    std::string m_address;
    std::mutex m_mutex;
    std::shared_ptr<http::ClientCall> m_call; // guarded by m_mutex
    bool m_isAborted = false; // guarded by m_mutex
};

/// @brief Fetches the fleet document once, with a temporary client.
/// @throws std::exception if the platform cannot be read.
std::optional<std::string> readFleet(const std::string &address, ConfigVersion above,
                                     Milliseconds wait);

} // namespace egretmount::platform
