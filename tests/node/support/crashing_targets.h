#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <unistd.h>

#include "support/standin.h"

namespace egretmount::tests {

inline void sleepFor(Milliseconds time)
{
    usleep(static_cast<useconds_t>(time.count()) * 1'000);
}

/// @brief Starts targets again that certain requests have crashed.
class Restarts
{
public:
    /// @param crashes Whether a request crashes its target.
    /// @param after Time from the arrival of the request to the restart.
    Restarts(StandIn &standIn, std::function<bool(const Arrival &)> crashes, Milliseconds after)
        : m_standIn(standIn)
        , m_crashes(std::move(crashes))
        , m_after(after)
    { }

    void update()
    {
        const std::vector<Arrival> arrivals = m_standIn.arrivals();
        for (; m_seen < arrivals.size(); ++m_seen) {
            if (m_crashes(arrivals[m_seen]))
                m_down[std::stoi(arrivals[m_seen].target.substr(2))] = arrivals[m_seen].at;
        }
        for (auto position = m_down.begin(); position != m_down.end();) {
            if (monotonicNow() - position->second < m_after) {
                ++position;
                continue;
            }
            m_standIn.restartTarget(position->first);
            position = m_down.erase(position);
        }
    }

private:
    StandIn &m_standIn;
    std::function<bool(const Arrival &)> m_crashes;
    Milliseconds m_after;
    std::size_t m_seen = 0;
    std::map<int, Milliseconds> m_down; ///< When the request arrived at each crashed target.
};

/// @brief Returns when requests of some kind reached targets, in order.
inline std::vector<Milliseconds> arrivalTimes(const StandIn &standIn,
                                              const std::function<bool(const Arrival &)> &isOfKind)
{
    std::vector<Milliseconds> times;
    for (const Arrival &arrival : standIn.arrivals()) {
        if (isOfKind(arrival))
            times.push_back(arrival.at);
    }
    std::sort(times.begin(), times.end());
    return times;
}

/// @brief Returns how many of the times are later than `margin` after the one with number `index`.
inline std::size_t countLater(const std::vector<Milliseconds> &times, std::size_t index,
                              Milliseconds margin)
{
    if (index >= times.size())
        return 0;
    return static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(), [&](Milliseconds at) { return at > times[index] + margin; }));
}

} // namespace egretmount::tests
