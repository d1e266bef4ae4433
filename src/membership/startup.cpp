#include <egretmount/membership/startup.h>

#include <algorithm>

#include <egretmount/membership/selection.h>

namespace egretmount::membership {

void applyFirstList(StartupState &state, const InstanceList &list, const InstanceId &self,
                    Milliseconds now)
{
    if (state.hasList)
        return;
    state.hasList = true;
    state.listedAt = now;
    state.awaited = choosePeers(list, self, startupFanout);
    std::sort(state.awaited.begin(), state.awaited.end());
}

void markPeerDone(StartupState &state, const InstanceId &peer)
{
    const auto place = std::lower_bound(state.awaited.begin(), state.awaited.end(), peer);
    if (place != state.awaited.end() && *place == peer)
        state.awaited.erase(place);
}

bool isStartupComplete(const StartupState &state, Milliseconds now)
{
    return state.hasList && (state.awaited.empty() || now - state.listedAt > startupTimeout);
}

} // namespace egretmount::membership
