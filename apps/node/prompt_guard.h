#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <egretmount/core/ids.h>
#include <egretmount/fleet/target_table.h>
#include <egretmount/limits/prompt_suspects.h>
#include <egretmount/placement/load_tracker.h>

#include "kernel/service.h"
#include "net/http_client.h"
#include "net/reactor.h"
#include "prompt_news.h"

namespace egretmount::node {

class MetricsService;
class PeerService;
class TargetPool;

/// @brief Finds out, together with the other instances, which prompts crash engines, and keeps them
///        from further engines.
class PromptGuard : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "prompts";

    PromptGuard(net::Reactor &reactor, kernel::ServiceRegistry &registry);

    std::string_view name() const override { return serviceName; }
    void start() override;

    /// @brief Counts a prompt that this instance has received.
    void recordPrompt(const std::string &route, const std::vector<PromptPartId> &parts);

    /// @brief Returns for how long a prompt may be sent to no engine; nothing if it may be sent.
    std::optional<Milliseconds> blockedFor(const std::vector<PromptPartId> &parts) const;

    /// @brief Returns whether one of the parts was in a prompt that may have crashed an engine, and
    ///        none has proven sound since.
    bool isSuspected(const std::vector<PromptPartId> &parts) const;

    /// @brief Records that an engine has written on a prompt for so long that it does not crash.
    void recordSound(const std::vector<PromptPartId> &parts);

    /// @brief Finds out whether a target has crashed that ended a connection within a response.
    /// @param startedAt Start stamp of the target when the request was sent.
    /// @param contentId Of the request that broke off.
    /// @param parts Shared parts of a prompt on which the target had only just begun to write, or
    ///        not yet.
    void onConnectionLost(const fleet::TargetEntry &target, std::int64_t startedAt,
                          std::uint64_t contentId, const std::vector<PromptPartId> &parts);

    /// @brief Registers a listener for parts that are blocked from now on.
    void onBlocked(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

    /// @brief Applies what another instance has announced.
    void applyRemote(const std::string &host, const PromptNews &news);

    /// @brief Returns the blocked parts, and the crashes that this instance has lately observed.
    PromptNews snapshot() const;

private:
    /// @brief A call that finds out whether a target still runs.
    struct CrashCheck
    {
        std::shared_ptr<net::HttpClient> client;
        fleet::TargetEntry target;
        std::int64_t startedAt = 0;
        Milliseconds askedAt;
        std::set<PromptPartId> parts; ///< Of all requests that broke off at the target.
        std::set<std::uint64_t> contentIds; ///< Of these requests.
    };

    void onChecked(placement::EngineKey key, int status, const std::string &body);

    /// @brief Takes a crash into account, and announces the parts that it leads to block.
    void applyCrash(const limits::TargetCrash &crash, const std::string &host);
    /// @brief Tells the others of parts that this instance has accused and that are sound.
    void withdraw(const std::vector<PromptPartId> &cleared);
    void announceBlocked(const std::vector<PromptPartId> &parts);
    void notifyListeners() const;

    net::Reactor &m_reactor;
    kernel::ServiceRegistry &m_registry;
    MetricsService *m_metrics = nullptr;
    PeerService *m_peers = nullptr;
    TargetPool *m_targets = nullptr;
    limits::PromptSuspects m_suspects;
    std::deque<limits::TargetCrash> m_ownCrashes; ///< Observed by this instance.
    std::set<PromptPartId> m_announced; ///< Parts that this instance has suspected or blocked.
    std::unordered_map<placement::EngineKey, CrashCheck> m_checks;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace egretmount::node
