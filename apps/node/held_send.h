#pragma once

#include "exchange.h"

namespace egretmount::node {

/// @brief A send whose target is silent, with the state of the exchange that belongs to it. It is
///        kept while the request is tried elsewhere.
///
/// The next target may decline the request, fail, or take longer than this one.
class Exchange::HeldSend : private SendListener
{
public:
    /// @brief Takes the present send from the exchange, which has none afterwards.
    explicit HeldSend(Exchange &exchange);

    /// @brief Gives the send back to the exchange. @pre The exchange has cancelled its own one.
    void restore();

    /// @brief Cancels the send and releases its load tracker entry and its memory reservations.
    void cancel();

    const TargetSend &send() const { return *m_send; }
    const fleet::TargetEntry &target() const { return m_placement.target; }
    bool isRelay() const { return m_placement.isRelay; }

    /// @brief As `Exchange::isPromptProven`, as of the time at which the send was taken.
    bool isPromptProven() const { return m_isPromptProven; }

private:
    bool maySend() override { return false; }
    void onRequestSent() override { }
    std::optional<limits::SendFailure> onResponseHead(http::ResponseHead head,
                                                      std::optional<int> inFlight) override;
    bool onResponseBytes(std::string bytes) override;
    void onResponseComplete() override;
    void onSendFailed(limits::SendFailure failure, const std::string &failedTargetAddress) override;

    Exchange &m_exchange;
    std::shared_ptr<TargetSend> m_send;
    Placement m_placement;
    std::shared_ptr<MemoryReservations> m_reservations;
    http::ResponseHead m_responseHead;
    std::optional<int> m_reportedInFlight;
    std::string m_buffer;
    bool m_isEventStream;
    http::EventScanner m_scanner;
    Milliseconds m_sentAt;
    Milliseconds m_lastEventAt;
    bool m_isDecoding;
    Milliseconds m_decodingSince;
    int m_decodedEvents;
    bool m_isPromptProven;
};

} // namespace egretmount::node
