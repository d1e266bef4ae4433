#include "placement_service.h"

namespace egretmount::node {

// Updates from other instances.

void PlacementService::noteReport(placement::EngineKey target, int inFlight)
{
    placement::noteReport(m_loadTracker, target, inFlight, m_reactor.now());
}

void PlacementService::applyRemoteInFlight(placement::Work request)
{
    const bool isWriting = request.isWriting;
    const std::uint64_t id = request.id;
    if (findInFlight(id) == nullptr)
        recordNewRequest(request);
    placement::addWork(m_loadTracker, std::move(request));
    if (isWriting)
        placement::noteWriting(m_loadTracker, id, m_reactor.now());
}

void PlacementService::applyRemoteQueued(const placement::WaitingWork &waiting)
{
    placement::addWaiting(m_loadTracker, waiting);
}

void PlacementService::applyRemoteDecoding(std::uint64_t id)
{
    placement::noteWriting(m_loadTracker, id, m_reactor.now());
}

void PlacementService::applyRemoteEnd(std::uint64_t id)
{
    placement::removeWork(m_loadTracker, id, m_reactor.now());
}

void PlacementService::keepStated(const std::string &owner,
                                  const std::vector<std::uint64_t> &liveIds)
{
    placement::keepStated(m_loadTracker, owner, liveIds, m_reactor.now());
}

void PlacementService::removeRequestsOfOwner(const std::string &owner)
{
    placement::removeWorksOf(m_loadTracker, owner, m_reactor.now());
}

} // namespace egretmount::node
