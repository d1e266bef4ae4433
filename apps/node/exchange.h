#pragma once

#include <memory>
#include <set>
#include <string>

#include <egretmount/fleet/configuration.h>
#include <egretmount/http/event_scanner.h>
#include <egretmount/limits/next_step.h>

#include "net/server_connection.h"
#include "placement_service.h"
#include "platform/messages.h"
#include "target_send.h"

namespace egretmount::node {

class IngressService;
class MetricsService;
class TargetPool;
class FleetService;

/// @brief The services that an exchange uses.
struct ExchangeServices
{
    net::Reactor &reactor;
    FleetService &fleet;
    PlacementService &placement;
    TargetPool &targets;
    IngressService &ingress;
    MetricsService &metrics;
};

/// @brief One request of a caller, from its whole arrival to its final answer.
class Exchange
    : public std::enable_shared_from_this<Exchange>
    , private SendListener
{
public:
    Exchange(const ExchangeServices &services, std::shared_ptr<net::ServerConnection> connection,
             http::RequestHead head, std::string body);
    ~Exchange() override;

    /// @brief Checks the request and sends it on, or waits for the first configuration.
    /// @param serviceDraw From 0 to 1; chooses among a route's services by their weights.
    void start(double randomValue);

    /// @brief Goes on if it waits for the configuration, which is there now.
    void onConfigured();

    /// @brief The engine that works on the request. @return Zero if there is none.
    placement::EngineKey engine() const;

    /// @brief Goes on at another engine if the present one has begun to read for too long.
    void migrate();

    /// @brief Ends the exchange because this instance stops.
    void stop();

private:
    void onRequestSent() override;
    void onResponseHead(http::ResponseHead head, std::optional<int> inFlight) override;
    void onResponseBytes(std::string bytes) override;
    void onResponseComplete() override;
    void onSendFailed(limits::SendFailure failure, const std::string &faultyAddress) override;

    void begin();
    void waitForConfiguration();
    bool validateRequest();
    void send();
    void reserveAndSend(const Placement &placement);
    void sendTo(const Placement &placement);
    Decision place();
    void waitInQueue(const Queued &queued);
    void handleRefusal(const Refusal &refusal);
    void handleFailure(limits::SendFailure failure);
    bool canMigrate() const;
    std::optional<Placement> placeElsewhere();
    void migrateTo(const Placement &placement);
    void scheduleStallCheck();
    void checkForStall();
    bool isTargetStalled() const;
    void onCallerGone();
    void onDeadline();
    void endSend(bool isCompleted = false);
    void forwardEvents(const std::string &bytes);
    void forwardFallback();
    void failRequest(std::string_view reason, Milliseconds retryAfter, int statusIfUnknown);
    void respondWithError(int status, std::string_view reason, Milliseconds retryAfter = Milliseconds());
    void refuse(std::string_view reason, Milliseconds retryAfter);
    void abortResponse(std::string_view reason);
    void finish(int status, std::string_view outcome);
    Milliseconds delayInOutage() const;
    Milliseconds timeLeft() const;
    std::string responseFields(const http::ResponseHead &head) const;

    ExchangeServices m_services;
    std::shared_ptr<net::ServerConnection> m_connection;
    http::RequestHead m_requestHead;
    std::string m_body;
    platform::CallerFields m_caller;
    std::shared_ptr<const fleet::Configuration> m_configuration;
    const fleet::Route *m_route = nullptr;
    const fleet::ServiceSpec *m_service = nullptr;
    TeamId m_team;
    Milliseconds m_arrivedAt;
    Milliseconds m_deadline;
    limits::SendHistory m_history;
    std::set<TargetId> m_failedTargets;
    Placement m_placement;
    std::shared_ptr<MemoryReservations> m_reservations; ///< Null: the first engine holds all memory.
    TargetSend m_send;
    http::ResponseHead m_responseHead;
    std::optional<int> m_reportedInFlight; ///< Requests that the target has, by its own word.
    std::string m_buffer; ///< Body of an answer that is passed on as a whole.
    bool m_isEventStream = false;
    http::EventScanner m_scanner;
    bool m_hasFallback = false; ///< A target's own failure, passed on if no other send does better.
    http::ResponseHead m_fallbackHead;
    std::string m_fallbackBody;
    Milliseconds m_sentAt;
    Milliseconds m_lastEventAt;
    Milliseconds m_lastForwardedAt;
    Milliseconds m_firstEventAt;
    Milliseconds m_longestEventGap; ///< Between two events passed on to the caller.
    net::TimerId m_deadlineTimer = 0;
    net::TimerId m_stallTimer = 0;
    net::TimerId m_queueTimer = 0;
    std::uint64_t m_queueEntryId = 0; ///< Entry under which it waits for engines; zero: it does not.
    double m_randomValue = 0;
    bool m_awaitsConfiguration = false; ///< Waits for the first configuration.
    bool m_isDecoding = false;
    bool m_isOver = false;
};

} // namespace egretmount::node
