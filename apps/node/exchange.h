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
    void start(double serviceDraw);

    /// @brief Goes on if it waits for the configuration, which is there now.
    void noteConfigured();

    /// @brief The engine that works on the request. @return Zero if there is none.
    placement::EngineKey engine() const;

    /// @brief Goes on at another engine if the present one has begun to read for too long.
    void relocate();

    /// @brief Ends the exchange because this instance stops.
    void stop();

private:
    void onRequestSent() override;
    void onAnswerHead(http::ResponseHead head, std::optional<int> inHand) override;
    void onAnswerBytes(std::string bytes) override;
    void onAnswerComplete() override;
    void onSendFailed(limits::SendFailure failure, const std::string &faultyAddress) override;

    void begin();
    void waitForConfiguration();
    bool checkRequest();
    void send();
    void prepare(const Placement &placement);
    void sendTo(const Placement &placement);
    Decision place();
    void waitForTurn(const Waiting &waiting);
    void handleRefusal(const Refusal &refusal);
    void handleFailure(limits::SendFailure failure);
    bool mayMove() const;
    std::optional<Placement> placeElsewhere();
    void moveTo(const Placement &placement);
    void watchSilence();
    void onSilent();
    bool isTargetSilent() const;
    void onCallerGone();
    void onTimeUp();
    void endSend(bool isServed = false);
    void passEvents(const std::string &bytes);
    void passFallback();
    void giveUp(std::string_view reason, Milliseconds retryAfter, int statusIfUnknown);
    void answerOwn(int status, std::string_view reason, Milliseconds retryAfter = Milliseconds());
    void answerNotRun(std::string_view reason, Milliseconds retryAfter);
    void abortResponse(std::string_view reason);
    void finish(int status, std::string_view outcome);
    Milliseconds delayInOutage() const;
    Milliseconds timeLeft() const;
    std::string answerFields(const http::ResponseHead &head) const;

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
    Milliseconds m_endsAt;
    limits::SendHistory m_history;
    std::set<TargetId> m_failedTargets;
    Placement m_placement;
    std::shared_ptr<MemoryTickets> m_tickets; ///< Null: the first engine holds all memory.
    TargetSend m_send;
    http::ResponseHead m_answerHead;
    std::optional<int> m_reportedInHand; ///< Requests that the target has, by its own word.
    std::string m_buffer; ///< Body of an answer that is passed on as a whole.
    bool m_isEventStream = false;
    http::EventScanner m_scanner;
    bool m_hasFallback = false; ///< A target's own failure, passed on if no other send does better.
    http::ResponseHead m_fallbackHead;
    std::string m_fallbackBody;
    Milliseconds m_sentAt;
    Milliseconds m_lastEventAt;
    Milliseconds m_lastPassedAt;
    Milliseconds m_firstEventAt;
    Milliseconds m_longestPause; ///< Between two events passed on to the caller.
    net::TimerId m_endTimer = 0;
    net::TimerId m_silenceTimer = 0;
    net::TimerId m_turnTimer = 0;
    std::uint64_t m_waitingWork = 0; ///< Entry under which it waits for engines; zero: it does not.
    double m_serviceDraw = 0;
    bool m_isUnconfigured = false; ///< Waits for the first configuration.
    bool m_isWriting = false;
    bool m_isOver = false;
};

} // namespace egretmount::node
