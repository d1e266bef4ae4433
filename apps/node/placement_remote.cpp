#include "placement_service.h"

#include <algorithm>

#include "peer_service.h"

namespace egretmount::node {

// Updates from other instances.

void PlacementService::recordEngineReport(placement::EngineKey target, int inFlight)
{
    placement::recordEngineReport(m_loadTracker, target, inFlight, m_reactor.now());
}

void PlacementService::applyRemoteInFlight(placement::InFlightRequest request)
{
    const bool isDecoding = request.isDecoding;
    const std::uint64_t id = request.id;
    if (findInFlight(id) == nullptr) {
        recordNewRequest(request);
        const std::vector<InstanceId> &members = m_peers->cell().members;
        if (request.isShort
            && std::binary_search(members.begin(), members.end(), InstanceId(request.owner)))
            recordShortArrival(serviceOf(request));
    }
    placement::addInFlight(m_loadTracker, std::move(request));
    if (isDecoding)
        placement::markDecoding(m_loadTracker, id, m_reactor.now());
}

void PlacementService::applyRemoteQueued(const placement::QueuedRequest &waiting)
{
    placement::enqueue(m_loadTracker, waiting);
}

void PlacementService::applyRemoteDecoding(std::uint64_t id)
{
    placement::markDecoding(m_loadTracker, id, m_reactor.now());
}

void PlacementService::applyRemoteEnd(std::uint64_t id)
{
    placement::removeRequest(m_loadTracker, id, m_reactor.now());
}

void PlacementService::retainOnly(const std::string &owner,
                                  const std::vector<std::uint64_t> &liveIds)
{
    placement::retainOnly(m_loadTracker, owner, liveIds, m_reactor.now());
}

void PlacementService::removeRequestsOfOwner(const std::string &owner)
{
    placement::removeRequestsOf(m_loadTracker, owner, m_reactor.now());
}

} // namespace egretmount::node
