#include "placement_service.h"

namespace egretmount::node {

// What other instances tell.

void PlacementService::recordEngineReport(placement::EngineKey target, int inHand)
{
    placement::recordEngineReport(m_ledger, target, inHand, m_reactor.now());
}

void PlacementService::noteRemoteWork(placement::InFlightRequest work)
{
    const bool isDecoding = work.isDecoding;
    const std::uint64_t id = work.id;
    if (findWork(id) == nullptr)
        noteNewWork(work);
    placement::addInFlight(m_ledger, std::move(work));
    if (isDecoding)
        placement::markDecoding(m_ledger, id, m_reactor.now());
}

void PlacementService::noteRemoteWaiting(const placement::QueuedRequest &waiting)
{
    placement::enqueue(m_ledger, waiting);
}

void PlacementService::noteRemoteWriting(std::uint64_t id)
{
    placement::markDecoding(m_ledger, id, m_reactor.now());
}

void PlacementService::noteRemoteEnd(std::uint64_t id)
{
    placement::removeRequest(m_ledger, id, m_reactor.now());
}

void PlacementService::retainOnly(const std::string &owner,
                                  const std::vector<std::uint64_t> &stated)
{
    placement::retainOnly(m_ledger, owner, stated, m_reactor.now());
}

void PlacementService::forgetOwner(const std::string &owner)
{
    placement::removeRequestsOf(m_ledger, owner, m_reactor.now());
}

} // namespace egretmount::node
