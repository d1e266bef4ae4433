#pragma once

#include <memory>
#include <string>

#include <egretmount/core/request.h>
#include <egretmount/runonce/issuer.h>
#include <egretmount/runonce/ticket.h>

#include "dispatch_service.h"
#include "http/server.h"
#include "kernel/service.h"
#include "request_watch.h"
#include "ticket_service.h"

namespace egretmount::entry {

/// @brief Serves one call that may not be repeated.
///
/// The ticket's issuer executes it; any other instance forwards it there, or has the ticket voided
/// if the issuer cannot be reached.
class OnceRelay
{
public:
    OnceRelay(kernel::ServiceRegistry &registry, http::Exchange &exchange, Request request,
              const std::string &body);

    /// @brief Serves the request to its end; always answers unless the caller has left.
    void run();

private:
    Result<runonce::Ticket> readTicket() const;
    void serveAsIssuer();
    Result<runonce::CallResponse> execute();
    Result<runonce::CallResponse> executeAt(const Assignment &assignment, RequestWatch &watch);
    void forward(const std::string &address);
    void sendForwarded(Poco::Net::HTTPResponse &response, const std::string &body);
    void voidTicket();

    kernel::ServiceRegistry &m_registry;
    TicketService &m_tickets;
    http::Exchange &m_exchange;
    Request m_request;
    const std::string &m_body;
    runonce::Ticket m_ticket;
};

} // namespace egretmount::entry
