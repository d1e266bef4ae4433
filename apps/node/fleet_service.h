#pragma once

#include <memory>
#include <unordered_map>

#include <egretmount/fleet/configuration.h>
#include <egretmount/fleet/target_table.h>
#include <egretmount/instance/settings.h>
#include <egretmount/placement/load_tracker.h>

#include "kernel/service.h"
#include "net/reactor.h"
#include "platform/documents.h"

namespace egretmount::node {

/// @brief What this instance believes of the fleet: settings, configuration, targets.
class FleetService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "fleet";

    FleetService(net::Reactor &reactor, instance::Settings settings);

    std::string_view name() const override { return serviceName; }
    void start() override;

    const instance::Settings &settings() const { return m_settings; }
    void setSettings(instance::Settings settings) { m_settings = std::move(settings); }

    /// @brief The configuration in force. @return Null until the first one has come.
    const std::shared_ptr<const fleet::Configuration> &configuration() const
    {
        return m_configuration;
    }

    const fleet::TargetTable &table() const { return m_table; }

    /// @brief The target with that key. @return Null if it is not known.
    const fleet::Target *targetWithKey(placement::EngineKey key) const;

    /// @brief Takes in changes of the platform's store, in order.
    void applyChanges(const std::vector<platform::RegistryChange> &changes);

    /// @brief Takes in a whole listing of the platform's store.
    void applyListing(const std::vector<platform::RegistryChange> &changes);

    /// @brief Takes in that the store answers again after it has failed.
    void noteOutageEnd();

    /// @brief Registers who hears that a target has a new run or is gone.
    void onTargetEnded(std::function<void(const TargetId &)> listener)
    {
        m_endListeners.push_back(std::move(listener));
    }

    /// @brief Registers who hears, once, that a configuration is in force and the targets are
    /// known.
    void onConfigured(std::function<void()> listener)
    {
        m_configurationListeners.push_back(std::move(listener));
    }

private:
    void apply(const platform::RegistryChange &change);
    void applyConfiguration(fleet::Configuration configuration);
    void applyEvacuation(const platform::EvacuationChanged &change);
    void noteEntry(const fleet::TargetEntry &entry);
    void noteRemoval(const platform::TargetRemoved &removal);
    void tellEnded(const TargetId &id);

    net::Reactor &m_reactor;
    instance::Settings m_settings;
    std::shared_ptr<const fleet::Configuration> m_configuration;
    fleet::TargetTable m_table;
    std::unordered_map<placement::EngineKey, TargetId> m_ids;
    std::vector<std::function<void(const TargetId &)>> m_endListeners;
    std::vector<std::function<void()>> m_configurationListeners;
};

/// @brief The key of a target in placements and messages.
placement::EngineKey keyOf(const TargetId &id);

} // namespace egretmount::node
