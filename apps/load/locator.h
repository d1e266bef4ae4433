#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/random.h>

namespace egretmount::load {

/// @brief An instance listed by `/v1/locate`.
struct LocatedInstance
{
    std::string address;
    std::int64_t weight = 0;
};

/// @brief The parsed response of `/v1/locate`.
struct LocateResponse
{
    std::vector<LocatedInstance> instances;
    Milliseconds maxAge; ///< How long the response may be cached.
};

/// @brief Queries an instance for the instances that callers may use.
/// @throws std::exception on any failure.
LocateResponse fetchLocate(const std::string &entryAddress);

/// @brief Draws an address at random, with probabilities proportional to the weights.
/// @return An empty string if the weights add up to zero.
std::string drawAddress(const std::vector<LocatedInstance> &instances, Random &random);

/// @brief Client-side service discovery: selects the instance for each connection and caches the
/// response of `/v1/locate` for its maximum age.
class Locator
{
public:
    /// @param bootstrapAddresses Instances to query at the start, and when no known one responds.
    Locator(std::vector<std::string> bootstrapAddresses, std::uint64_t seed);

    /// @brief Returns the address for the next connection. Thread-safe; may block to query an
    /// instance when the cached response has expired.
    std::string next();

private:
    void refresh();
    static LocateResponse queryFirstReachable(const std::vector<std::string> &addresses);

    std::vector<std::string> m_bootstrapAddresses;
    std::mutex m_mutex;
    Random m_random; // guarded by m_mutex
    LocateResponse m_response; // guarded by m_mutex
    Milliseconds m_validUntil; // guarded by m_mutex
    bool m_isRefreshing = false; // guarded by m_mutex
};

} // namespace egretmount::load
