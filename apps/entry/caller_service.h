#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <egretmount/core/error.h>
#include <egretmount/core/request.h>

#include "dispatch_service.h"
#include "entry_settings.h"
#include "http/server.h"
#include "kernel/loop.h"
#include "kernel/service.h"
#include "request_watch.h"

namespace egretmount::entry {

/// @brief The HTTP server for callers: locate, completions, calls and health pages.
class CallerService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "callers";

    CallerService(kernel::Loop &loop, kernel::ServiceRegistry &registry,
                  const EntrySettings &settings);

    std::string_view name() const override { return serviceName; }
    void start() override;
    void stop() override;

    /// @brief Requests that are being served.
    int current() const { return m_current; }

    /// @brief Refuses new requests from now on; those in hand go on. Any thread.
    void refuseNew() { m_isRefusing = true; }

private:
    void locate(http::Exchange &exchange);
    void complete(http::Exchange &exchange);
    void call(http::Exchange &exchange);
    void issueTicket(http::Exchange &exchange);
    void sendReadiness(http::Exchange &exchange);

    /// Reads and checks a call; what is known of its ticket is not looked at.
    Result<Request> makeCallRequest(http::Exchange &exchange, std::string &body) const;

    /// Checks token, service and deadline, and fills in the request.
    Result<Request> makeRequest(http::Exchange &exchange, const ServiceId &service) const;

    kernel::Loop &m_loop;
    kernel::ServiceRegistry &m_registry;
    EntrySettings m_settings;
    http::Server m_server;
    http::Server m_operatorsServer; // started only if operators have an address of their own
    std::atomic<int> m_current { 0 };
    std::atomic<bool> m_isRefusing { false };
};

} // namespace egretmount::entry
