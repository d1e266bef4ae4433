#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/random.h>

namespace egretmount::load {

/// @brief One instance that `/v1/locate` names.
struct LocatedInstance
{
    std::string address;
    std::int64_t weight = 0;
};

/// @brief The answer of `/v1/locate`.
struct LocateResponse
{
    std::vector<LocatedInstance> instances;
    Milliseconds maxAge;
};

/// @brief Asks an instance which instances to call. @throws std::exception on any failure.
LocateResponse fetchLocate(const std::string &entryAddress);

/// @brief Draws an address by weight. @return Empty if there is none.
std::string drawAddress(const std::vector<LocatedInstance> &instances, Random &random);

/// @brief A caller's knowledge of where to connect: keeps an answer for its maximum age.
class Locator
{
public:
    /// @param firstAddresses Instances to ask at the start, and when no known one answers.
    Locator(std::vector<std::string> bootstrapAddresses, std::uint64_t seed);

    /// @brief The address for the next connection. Any thread; may ask an instance first.
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
