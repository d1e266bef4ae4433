#pragma once

#include <optional>
#include <string>
#include <vector>

#include <egretmount/config/orders.h>

#include "entry_settings.h"
#include "kernel/loop.h"
#include "kernel/service.h"
#include "worker.h"

namespace egretmount::entry {

/// @brief Brings engines to what the fleet document wants of them.
///
/// Each engine is looked after by one instance, chosen by rendezvous hash. Two instances with
/// different views may both send; they send the same order for the same document.
class OrderService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "orders";

    OrderService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                 const EntrySettings &settings);
    ~OrderService() override;

    std::string_view name() const override { return serviceName; }
    void start() override;
    void stop() override;

private:
    /// An order and when it was decided.
    struct Decision
    {
        std::optional<config::EngineOrder> order;
        Milliseconds at;
    };

    void run();
    void lookAfter(const config::Target &target);
    void send(const config::Target &target, const Decision &decision);
    std::vector<config::Target> ownTargets() const;
    Decision decide(const TargetId &id, const config::EngineReport &report) const;
    bool isViewFresh() const;

    kernel::ServiceRegistry &m_registry;
    std::string m_senderToken;
    Worker m_worker;
};

} // namespace egretmount::entry
