#include <algorithm>

#include <capnp/serialize-packed.h>
#include <glog/logging.h>

#include "peer_messages.h"
#include "peer_service.h"
#include "placement_service.h"
#include "registry_sync.h"
#include "target_pool.h"

namespace egretmount::node {

void PeerService::receive(const std::string &sender, const char *data, std::size_t size)
{
    try {
        kj::ArrayInputStream input(kj::arrayPtr(reinterpret_cast<const kj::byte *>(data), size));
        capnp::PackedMessageReader message(input);
        const wire::News::Reader news = message.getRoot<wire::News>();
        const std::string host = news.getSender();
        noteMembers(host, news);
        noteWorks(host, news);
        m_sync->noteRevisionOf(host, news.getRegistryRevision());
    } catch (const kj::Exception &error) {
        LOG(WARNING) << "peers: unreadable datagram sender=" << sender << " reason=\""
                     << error.getDescription().cStr() << '"';
    }
}

void PeerService::noteMembers(const std::string &host, wire::News::Reader news)
{
    const Milliseconds now = m_reactor.now();
    const bool wasAlone = m_living.size() <= 1;
    const std::vector<std::string> changed =
        membership::mergeRecords(m_roster, readRoster(news), now);
    switch (membership::applySuspicions(m_roster, host, readClaims(news), now)) {
    case membership::SuspicionReply::Nobody:
        break;
    case membership::SuspicionReply::Sender:
        sendBeatTo({ host });
        break;
    case membership::SuspicionReply::Everyone:
        LOG(INFO) << "peers: taken for lost claimant=" << host
                  << " version=" << m_roster.self.version;
        sendRoster({ m_roster.self }, membership::livingHosts(m_roster));
        sendBeatTo({ host });
        break;
    }
    if (!membership::recordDatagram(m_roster, host, news.getIncarnation(), now))
        send(host, claimMessage({ membership::suspicionOf(m_roster, host) }));
    if (news.getRoster().size() > 0 || news.getSilent().size() > 0)
        refreshLiving();
    if (changed.empty())
        return;
    for (const std::string &newRun : changed)
        m_placement->forgetOwner(newRun);
    if (wasAlone)
        m_firstHeardAt = now;
    // A new run knows nothing yet: tell it at once who lives and what is placed where.
    sendRoster(membership::makeDigest(m_roster, now), changed);
    const std::string own = statement();
    for (const std::string &newRun : changed)
        send(newRun, own);
}

void PeerService::noteWorks(const std::string &host, wire::News::Reader news)
{
    const Milliseconds now = m_reactor.now();
    std::vector<std::uint64_t> stated;
    for (const wire::PlacedWork::Reader placed : news.getPlaced()) {
        stated.push_back(placed.getId());
        m_placement->noteRemoteWork(readWork(placed, host, now));
    }
    for (const wire::WaitingWork::Reader waiting : news.getWaiting()) {
        stated.push_back(waiting.getId());
        m_placement->noteRemoteWaiting(readWaiting(waiting, host, now));
    }
    for (const wire::Progress::Reader progress : news.getWriting()) {
        m_placement->noteRemoteWriting(progress.getId());
        if (progress.getInHand() >= 0)
            m_placement->noteReport(progress.getTarget(), progress.getInHand());
    }
    for (const std::uint64_t id : news.getEnded())
        m_placement->noteRemoteEnd(id);
    if (news.getIsStatement()) {
        std::sort(stated.begin(), stated.end());
        m_placement->keepStated(host, stated);
    }
    for (const wire::Distrust::Reader distrust : news.getDistrusted())
        m_targets->distrustUntil(distrust.getTarget(), now + Milliseconds(distrust.getLeftMs()));
}

} // namespace egretmount::node
