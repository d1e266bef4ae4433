#pragma once

#include "entry_settings.h"
#include "http/server.h"
#include "kernel/loop.h"
#include "kernel/service.h"

namespace egretmount::entry {

/// @brief Pages for operators: the state of this instance and the reasons of its choices.
class StatusService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "status";

    StatusService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                  const EntrySettings &settings);

    std::string_view name() const override { return serviceName; }
    void start() override { }

    /// @brief Adds the pages to a server that is not started yet.
    void addRoutes(http::Server &server);

private:
    void sendStatus(http::Exchange &exchange);
    void sendExplanation(http::Exchange &exchange);
    std::string statusJson() const;

    kernel::Loop &m_loop;
    kernel::ServiceRegistry &m_registry;
    ZoneId m_zone;
};

} // namespace egretmount::entry
