#include "placement_service.h"

namespace egretmount::node {

// What other instances tell.

void PlacementService::noteReport(placement::EngineKey target, int inHand)
{
    placement::noteReport(m_ledger, target, inHand, m_reactor.now());
}

void PlacementService::noteRemoteWork(placement::Work work)
{
    const bool isWriting = work.isWriting;
    const std::uint64_t id = work.id;
    if (findWork(id) == nullptr)
        noteNewWork(work);
    placement::addWork(m_ledger, std::move(work));
    if (isWriting)
        placement::noteWriting(m_ledger, id, m_reactor.now());
}

void PlacementService::noteRemoteWaiting(const placement::WaitingWork &waiting)
{
    placement::addWaiting(m_ledger, waiting);
}

void PlacementService::noteRemoteWriting(std::uint64_t id)
{
    placement::noteWriting(m_ledger, id, m_reactor.now());
}

void PlacementService::noteRemoteEnd(std::uint64_t id)
{
    placement::removeWork(m_ledger, id, m_reactor.now());
}

void PlacementService::keepStated(const std::string &owner,
                                  const std::vector<std::uint64_t> &stated)
{
    placement::keepStated(m_ledger, owner, stated, m_reactor.now());
}

void PlacementService::forgetOwner(const std::string &owner)
{
    placement::removeWorksOf(m_ledger, owner, m_reactor.now());
}

} // namespace egretmount::node
