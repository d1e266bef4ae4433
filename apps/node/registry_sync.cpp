#include "registry_sync.h"

#include <algorithm>

#include <glog/logging.h>

#include <egretmount/core/hash.h>

#include "fleet_service.h"
#include "peer_service.h"
#include "registry_copies.h"

namespace egretmount::node {

namespace {

// How long a watch waits. A store that fell silent under a watch is noticed within this time and
// the call's time-out: early enough for the bound on configurations after an outage.
constexpr Milliseconds watchTime = Milliseconds(2'500);

// With many instances, a few watch in such short turns and the others in long ones: all hear of
// each other's state of the store with every message, and one that is behind asks at once.
constexpr Milliseconds longWatchTime = Milliseconds(12'000);
constexpr std::size_t shortWatchers = 5;

// Changes come in groups; a short pause before the next watch collects them in one answer. The
// pause grows with the number of instances, as all of them ask after each change.
constexpr Milliseconds pausePerInstance = Milliseconds(15);
constexpr Milliseconds longestPause = Milliseconds(400);

// First and longest delay between attempts while the store fails.
constexpr Milliseconds firstRetry = Milliseconds(150);
constexpr Milliseconds longestRetry = Milliseconds(600);
// Before the first answer all requests are refused, which weighs more than a few calls.
constexpr Milliseconds longestFirstRetry = Milliseconds(300);

// A watch that has not told of a change which another instance knows for this long is stuck.
constexpr Milliseconds stuckAfter = Milliseconds(700);

} // namespace

RegistrySync::RegistrySync(net::Reactor &reactor, kernel::ServiceRegistry &registry,
                           const std::string &address)
    : m_reactor(reactor)
    , m_registry(registry)
    , m_client(reactor, address)
{ }

void RegistrySync::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_peers = &m_registry.find<PeerService>();
    m_copies = &m_registry.find<RegistryCopies>();
    m_lastAnswer = m_reactor.now();
    list();
}

void RegistrySync::noteRevisionOf(const std::string &host, platform::Revision revision)
{
    const Milliseconds now = m_reactor.now();
    if (m_revision == 0 && revision > 0) {
        m_copies->ask(host, [this](const platform::RegistryPage &page) { onCopy(page); });
        return;
    }
    if (revision <= m_revision || m_needsListing) {
        m_behindSince = Milliseconds();
        return;
    }
    if (m_behindSince == Milliseconds())
        m_behindSince = now;
    const bool isStuck = m_isWatching && m_failures == 0
                         && now - std::max(m_behindSince, m_watchStarted) > stuckAfter;
    if (!isStuck)
        return;
    m_behindSince = Milliseconds();
    LOG(WARNING) << "registry: watch is stuck revision=" << m_revision << " seen=" << revision;
    m_client.cancel();
}

void RegistrySync::onCopy(const platform::RegistryPage &page)
{
    if (m_revision != 0)
        return; // the store has answered meanwhile
    m_fleet->applyListing(page.changes);
    m_copies->own().noteListing(page.items, page.revision);
    m_revision = page.revision;
    m_needsListing = false;
}

void RegistrySync::list()
{
    m_listed = {};
    m_client.list("", [this](tl::expected<platform::RegistryPage, platform::StoreFailure> page) {
        onListed(std::move(page));
    });
}

void RegistrySync::onListed(tl::expected<platform::RegistryPage, platform::StoreFailure> page)
{
    if (!page) {
        noteFailure(page.error());
        return;
    }
    // Pages are no snapshot: watching on from the first one's state repeats some changes and
    // misses none.
    if (m_listed.revision == 0)
        m_listed.revision = page->revision;
    for (platform::RegistryChange &change : page->changes)
        m_listed.changes.push_back(std::move(change));
    for (platform::RegistryItem &item : page->items)
        m_listed.items.push_back(std::move(item));
    if (page->hasMore && !page->lastKey.empty()) {
        m_client.list(page->lastKey,
                      [this](tl::expected<platform::RegistryPage, platform::StoreFailure> next) {
                          onListed(std::move(next));
                      });
        return;
    }
    noteAnswer();
    m_fleet->applyListing(m_listed.changes);
    m_copies->own().noteListing(m_listed.items, m_listed.revision);
    m_revision = std::max(m_revision, m_listed.revision);
    m_listed = {};
    m_needsListing = false;
    watch();
}

void RegistrySync::watch()
{
    m_isWatching = true;
    m_watchStarted = m_reactor.now();
    // While the store fails, a call that does not wait finds out soonest that it is back.
    const Milliseconds wait = m_failures > 0 ? Milliseconds() : waitOfWatch();
    m_client.watch(m_revision, wait,
                   [this](tl::expected<platform::RegistryPage, platform::StoreFailure> page) {
                       onChanges(std::move(page));
                   });
}

void RegistrySync::onChanges(tl::expected<platform::RegistryPage, platform::StoreFailure> page)
{
    m_isWatching = false;
    if (!page) {
        noteFailure(page.error());
        return;
    }
    noteAnswer();
    m_fleet->applyChanges(page->changes);
    m_copies->own().noteChanges(page->items, page->revision);
    m_revision = std::max(m_revision, page->revision);
    if (page->changes.empty()) {
        watch();
        return;
    }
    m_reactor.after(pauseBetweenWatches(), [this] { watch(); });
}

Milliseconds RegistrySync::waitOfWatch() const
{
    const std::vector<InstanceId> &living = m_peers->living();
    const std::uint64_t own = stableHash(m_fleet->settings().host);
    const std::size_t ahead = static_cast<std::size_t>(
        std::count_if(living.begin(), living.end(), [&](const InstanceId &instance) {
            return stableHash(instance.value) < own;
        }));
    return ahead < shortWatchers ? watchTime : longWatchTime;
}

Milliseconds RegistrySync::pauseBetweenWatches() const
{
    const std::int64_t instances = static_cast<std::int64_t>(m_peers->livingCount());
    return std::min(pausePerInstance * instances, longestPause);
}

void RegistrySync::noteFailure(platform::StoreFailure failure)
{
    if (failure == platform::StoreFailure::HistoryGone) {
        LOG(WARNING) << "registry: history gone, listing anew revision=" << m_revision;
        m_needsListing = true;
        m_reactor.after(Milliseconds(), [this] { list(); });
        return;
    }
    if (m_failures == 0)
        LOG(WARNING) << "registry: lost reason=" << nameOf(failure) << " revision=" << m_revision;
    ++m_failures;
    const Milliseconds longest = m_revision == 0 ? longestFirstRetry : longestRetry;
    const Milliseconds delay = std::min(firstRetry * std::min(m_failures, 4), longest);
    m_reactor.after(delay, [this] { retry(); });
}

void RegistrySync::retry()
{
    if (m_needsListing)
        list();
    else
        watch();
}

void RegistrySync::noteAnswer()
{
    if (m_failures > 0) {
        const Milliseconds away = m_reactor.now() - m_lastAnswer;
        LOG(INFO) << "registry: regained failures=" << m_failures << " away_ms=" << away.count();
        m_fleet->noteOutageEnd();
    }
    m_failures = 0;
    m_lastAnswer = m_reactor.now();
}

} // namespace egretmount::node
