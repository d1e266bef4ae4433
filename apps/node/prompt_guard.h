#pragma once

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include <egretmount/core/ids.h>
#include <egretmount/fleet/target_table.h>
#include <egretmount/placement/load_tracker.h>

#include "kernel/service.h"
#include "net/http_client.h"
#include "net/reactor.h"

namespace egretmount::node {

class TargetPool;

/// @brief Finds out which prompts crash engines.
class PromptGuard : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "prompts";

    PromptGuard(net::Reactor &reactor, kernel::ServiceRegistry &registry);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Finds out whether a target has crashed that ended a connection within a response.
    /// @param startedAt Start stamp of the target when the request was sent.
    /// @param parts Shared parts of a prompt on which the target had only just begun to write, or
    ///        not yet.
    void onConnectionLost(const fleet::TargetEntry &target, std::int64_t startedAt,
                          const std::vector<PromptPartId> &parts);

private:
    /// @brief A call that finds out whether a target still runs.
    struct CrashCheck
    {
        std::shared_ptr<net::HttpClient> client;
        fleet::TargetEntry target;
        std::int64_t startedAt = 0;
        Milliseconds askedAt;
        std::set<PromptPartId> parts; ///< Of all requests that broke off at the target.
    };

    void onChecked(placement::EngineKey key, int status, const std::string &body);

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    TargetPool *m_targets = nullptr;
    std::unordered_map<placement::EngineKey, CrashCheck> m_checks;
};

} // namespace egretmount::node
