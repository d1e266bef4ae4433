#include <algorithm>

#include <capnp/serialize-packed.h>
#include <glog/logging.h>

#include "crash_guard.h"
#include "fleet_service.h"
#include "peer_messages.h"
#include "peer_service.h"
#include "placement_service.h"
#include "registry_sync.h"
#include "target_pool.h"

namespace egretmount::node {

namespace {

// Reports of outages that ended earlier have no effect: the grace period after them is over.
constexpr Milliseconds maxReportedOutageAge = Milliseconds(5'000);

} // namespace

void PeerService::receive(const std::string &sender, const char *data, std::size_t size)
{
    try {
        kj::ArrayInputStream input(kj::arrayPtr(reinterpret_cast<const kj::byte *>(data), size));
        capnp::PackedMessageReader reader(input);
        const wire::PeerMessage::Reader message = reader.getRoot<wire::PeerMessage>();
        const std::string host = message.getSender();
        applyMembership(host, message);
        applyReach(host, message);
        applyDeferred(host, message);
        applyRequestState(host, message);
        applyCrashUpdate(host, message);
        applyRegistryState(host, message);
    } catch (const kj::Exception &error) {
        LOG(WARNING) << "peers: unreadable datagram sender=" << sender << " reason=\""
                     << error.getDescription().cStr() << '"';
    }
}

void PeerService::applyReach(const std::string &host, wire::PeerMessage::Reader message)
{
    if (!std::binary_search(m_living.begin(), m_living.end(), InstanceId(host)))
        return;
    PeerReach &reach = m_reachOf[host];
    if (reach.reachesNone != message.getReachesNoTarget())
        LOG(INFO) << "peers: instance "
                  << (reach.reachesNone ? "reaches targets again" : "reaches no target")
                  << " host=" << host;
    reach.reachesNone = message.getReachesNoTarget();
    const Milliseconds contactAt = m_reactor.now() - Milliseconds(message.getContactAgeMs());
    reach.contactAt = std::max(contactAt, Milliseconds());
}

void PeerService::applyDeferred(const std::string &host, wire::PeerMessage::Reader message)
{
    if (std::binary_search(m_living.begin(), m_living.end(), InstanceId(host)))
        m_deferredOf[host] = { message.getDeferred(), m_reactor.now() };
}

void PeerService::applyCrashUpdate(const std::string &host, wire::PeerMessage::Reader message)
{
    const CrashUpdate update = readCrashUpdate(message, m_reactor.now());
    if (!update.isEmpty())
        m_crashes->applyRemote(host, update);
}

void PeerService::applyRegistryState(const std::string &host, wire::PeerMessage::Reader message)
{
    const Milliseconds now = m_reactor.now();
    const membership::RegistryVersion version { message.getRegistryEra(),
                                                message.getRegistryRevision() };
    // First, because targets whose entries expired in the absence keep their grace period only if
    // it is known when their removals arrive.
    const Milliseconds absenceAge(message.getOutageAgeMs());
    if (absenceAge < maxReportedOutageAge) {
        const Milliseconds returnedAt = now - absenceAge;
        if (version.era > m_sync->version().era)
            m_fleet->onEntriesLost(returnedAt);
        else
            m_fleet->onReportedAbsence(
                host, { returnedAt - Milliseconds(message.getOutageLengthMs()), returnedAt });
    }
    const Milliseconds confirmedAt = now - Milliseconds(message.getRegistryAgeMs());
    if (!version.isEmpty())
        m_fleet->onRegistryContact(confirmedAt);
    m_sync->onPeerVersion(host, version, confirmedAt);
}

void PeerService::applyMembership(const std::string &host, wire::PeerMessage::Reader message)
{
    const Milliseconds now = m_reactor.now();
    const bool wasAlone = m_living.size() <= 1;
    const std::vector<std::string> changedHosts =
        membership::mergeRecords(m_memberList, readMembers(message), now);
    switch (membership::applySuspicions(m_memberList, host, readSuspicions(message), now)) {
    case membership::SuspicionReply::Nobody:
        break;
    case membership::SuspicionReply::Sender:
        sendHeartbeatTo({ host });
        break;
    case membership::SuspicionReply::Everyone:
        LOG(INFO) << "peers: refuted suspicion of this instance claimant=" << host
                  << " version=" << m_memberList.self.version;
        sendMemberRecords({ m_memberList.self }, membership::livingHosts(m_memberList));
        sendHeartbeatTo({ host });
        break;
    }
    if (!membership::recordDatagram(m_memberList, host, message.getIncarnation(), now))
        send(host, suspicionMessage({ membership::suspicionOf(m_memberList, host) }));
    if (message.getRoster().size() > 0 || message.getSilent().size() > 0)
        updateLiving();
    if (changedHosts.empty())
        return;
    for (const std::string &changedHost : changedHosts)
        m_placement->removeRequestsOfOwner(changedHost);
    if (wasAlone)
        m_firstPeerAt = now;
    // A restarted instance has no state yet: send it the member list and a snapshot immediately.
    sendMemberRecords(membership::makeDigest(m_memberList, now), changedHosts);
    const std::string snapshot = snapshotMessage(Audience::Cell);
    for (const std::string &changedHost : changedHosts)
        send(changedHost, snapshot);
}

void PeerService::applyRequestState(const std::string &host, wire::PeerMessage::Reader message)
{
    const Milliseconds now = m_reactor.now();
    std::vector<std::uint64_t> listedIds;
    for (const wire::InFlightRequest::Reader placed : message.getPlaced()) {
        listedIds.push_back(placed.getId());
        m_placement->applyRemoteInFlight(readInFlight(placed, host, now));
    }
    for (const wire::QueuedRequest::Reader queued : message.getWaiting()) {
        listedIds.push_back(queued.getId());
        m_placement->applyRemoteQueued(readQueued(queued, host, now));
    }
    for (const wire::Progress::Reader progress : message.getWriting()) {
        m_placement->applyRemoteDecoding(progress.getId());
        if (progress.getInHand() >= 0)
            m_placement->recordEngineReport(progress.getTarget(), progress.getInHand());
    }
    for (const std::uint64_t id : message.getEnded())
        m_placement->applyRemoteEnd(id);
    if (message.getIsStatement()) {
        std::sort(listedIds.begin(), listedIds.end());
        m_placement->retainOnly(host, listedIds);
    }
    for (const wire::Ejection::Reader ejection : message.getDistrusted())
        m_targets->ejectUntil(ejection.getTarget(), now + Milliseconds(ejection.getLeftMs()));
    for (const wire::Departure::Reader departure : message.getLeaving())
        m_targets->recordLeavingFromPeer(departure.getTarget(), departure.getStartedAt());
    for (const TargetLimitNews &news : readLimits(message, now))
        m_targets->recordLimitFromPeer(news);
}

} // namespace egretmount::node
