#include "fleet_service.h"

#include <glog/logging.h>

#include <egretmount/core/hash.h>

namespace egretmount::node {

namespace {

// Granularity at which unlisted targets are dropped; the bound leaves some 200 ms.
constexpr Milliseconds sweepInterval = Milliseconds(100);

} // namespace

placement::EngineKey keyOf(const TargetId &id)
{
    return stableHash(id.value);
}

FleetService::FleetService(net::Reactor &reactor, instance::Settings settings)
    : m_reactor(reactor)
    , m_settings(std::move(settings))
{ }

void FleetService::start()
{
    m_reactor.every(sweepInterval, [this] {
        for (const TargetId &id : fleet::removeUnlisted(m_table, m_reactor.now())) {
            LOG(INFO) << "fleet: unlisted target dropped target=" << id.value;
            tellEnded(id);
        }
    });
}

const fleet::Target *FleetService::targetWithKey(placement::EngineKey key) const
{
    const auto id = m_ids.find(key);
    if (id == m_ids.end())
        return nullptr;
    const auto target = m_table.targets.find(id->second);
    return target == m_table.targets.end() ? nullptr : &target->second;
}

void FleetService::applyChanges(const std::vector<platform::RegistryChange> &changes)
{
    std::vector<TargetId> removed;
    for (const platform::RegistryChange &change : changes) {
        if (const platform::TargetRemoved *removal = std::get_if<platform::TargetRemoved>(&change))
            removed.push_back(removal->id);
    }
    if (fleet::looksLikeLeaseExpiry(m_table, removed)) {
        LOG(WARNING) << "fleet: leases have lapsed targets=" << removed.size();
        fleet::markOutageEnded(m_table, m_reactor.now());
    }
    for (const platform::RegistryChange &change : changes)
        apply(change);
}

void FleetService::apply(const platform::RegistryChange &change)
{
    if (const platform::TargetWritten *written = std::get_if<platform::TargetWritten>(&change))
        noteEntry(written->entry);
    else if (const platform::TargetRemoved *removed = std::get_if<platform::TargetRemoved>(&change))
        noteRemoval(*removed);
    else if (const platform::ConfigurationWritten *configured =
                 std::get_if<platform::ConfigurationWritten>(&change))
        applyConfiguration(configured->configuration);
    else if (const platform::ConfigurationUnreadable *unreadable =
                 std::get_if<platform::ConfigurationUnreadable>(&change))
        LOG(ERROR) << "fleet: configuration ignored reason=\"" << unreadable->reason << '"';
    else if (const platform::EvacuationChanged *evacuation =
                 std::get_if<platform::EvacuationChanged>(&change))
        applyEvacuation(*evacuation);
}

void FleetService::applyListing(const std::vector<platform::RegistryChange> &changes)
{
    std::vector<fleet::TargetEntry> entries;
    std::set<ZoneId> evacuated;
    for (const platform::RegistryChange &change : changes) {
        if (const platform::TargetWritten *written = std::get_if<platform::TargetWritten>(&change))
            entries.push_back(written->entry);
        else if (const platform::EvacuationChanged *evacuation =
                     std::get_if<platform::EvacuationChanged>(&change))
            evacuated.insert(evacuation->zone);
        else
            apply(change);
    }
    for (const TargetId &id : fleet::applyListing(m_table, entries, m_reactor.now())) {
        LOG(INFO) << "fleet: target not listed any more target=" << id.value;
        tellEnded(id);
    }
    for (const fleet::TargetEntry &entry : entries)
        m_ids[keyOf(entry.id)] = entry.id;
    m_table.evacuated = std::move(evacuated);
    LOG(INFO) << "fleet: listed targets=" << m_table.targets.size()
              << " evacuated_zones=" << m_table.evacuated.size();
}

void FleetService::noteOutageEnd()
{
    fleet::markOutageEnded(m_table, m_reactor.now());
}

void FleetService::applyConfiguration(fleet::Configuration configuration)
{
    if (m_configuration && configuration.version <= m_configuration->version) {
        LOG(INFO) << "fleet: older configuration ignored version=" << configuration.version
                  << " in_force=" << m_configuration->version;
        return;
    }
    LOG(INFO) << "fleet: configuration in force version=" << configuration.version
              << " routes=" << configuration.routes.size()
              << " services=" << configuration.services.size()
              << " keys=" << configuration.teamsByKey.size();
    const bool isFirst = !m_configuration;
    m_configuration = std::make_shared<const fleet::Configuration>(std::move(configuration));
    if (!isFirst)
        return;
    // The targets of the same listing are taken in before the listeners are called.
    m_reactor.defer([this] {
        for (const std::function<void()> &listener : m_configurationListeners)
            listener();
    });
}

void FleetService::applyEvacuation(const platform::EvacuationChanged &change)
{
    LOG(INFO) << "fleet: evacuation zone=" << change.zone.value
              << " evacuated=" << change.isEvacuated;
    if (change.isEvacuated)
        m_table.evacuated.insert(change.zone);
    else
        m_table.evacuated.erase(change.zone);
}

void FleetService::noteEntry(const fleet::TargetEntry &entry)
{
    const bool isNewRun = fleet::applyEntry(m_table, entry, m_reactor.now());
    m_ids[keyOf(entry.id)] = entry.id;
    LOG(INFO) << "fleet: target target=" << entry.id.value << " service=" << entry.service.value
              << " zone=" << entry.zone.value << " new_run=" << isNewRun
              << " draining=" << entry.isDraining << " cold_ms=" << entry.coldLeft.count();
    if (isNewRun)
        tellEnded(entry.id);
}

void FleetService::noteRemoval(const platform::TargetRemoved &removal)
{
    const bool isGone = fleet::applyRemoval(m_table, removal.id, m_reactor.now());
    LOG(INFO) << "fleet: target removed target=" << removal.id.value << " kept=" << !isGone
              << " unreadable=" << removal.isUnreadable;
    if (isGone)
        tellEnded(removal.id);
}

void FleetService::tellEnded(const TargetId &id)
{
    for (const std::function<void(const TargetId &)> &listener : m_endListeners)
        listener(id);
}

} // namespace egretmount::node
