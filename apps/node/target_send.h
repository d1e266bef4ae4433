#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <egretmount/fleet/target_table.h>
#include <egretmount/http/body.h>
#include <egretmount/http/head.h>
#include <egretmount/limits/next_step.h>
#include <egretmount/limits/response_end.h>

#include "net/http_client.h"
#include "net/reactor.h"
#include "net/tcp_stream.h"
#include "platform/messages.h"
#include "target_pool.h"

namespace egretmount::node {

/// @brief Receives the events of one send. The last one is `onResponseComplete` or `onSendFailed`,
///        unless the send is cancelled.
class SendListener
{
public:
    SendListener() = default;
    SendListener(const SendListener &) = delete;
    SendListener &operator=(const SendListener &) = delete;
    virtual ~SendListener() = default;

    /// @brief Called on an established connection, immediately before the request is written.
    /// @return False if nothing may be sent. The send then fails as `Withheld`.
    virtual bool maySend() = 0;
    virtual void onRequestSent() = 0; ///< The target may execute the request after this call.

    /// @param inFlight Number of in-flight requests as reported by the target, if it did.
    /// @return Why the response cannot be used, with which the send fails; empty if it can.
    virtual std::optional<limits::SendFailure> onResponseHead(http::ResponseHead head,
                                                              std::optional<int> inFlight) = 0;
    /// @return False if the bytes cannot be used. The send then fails as `NotContinued`.
    virtual bool onResponseBytes(std::string bytes) = 0;

    virtual void onResponseComplete() = 0;

    /// @param failedTargetAddress Address of the target that caused the failure, as reported in the
    ///        response; empty if none was reported.
    virtual void onSendFailed(limits::SendFailure failure,
                              const std::string &failedTargetAddress) = 0;
};

/// @brief Who receives a request that is sent.
enum class Receiver {
    Target,
    Instance, ///< Another instance, which passes it on to a target.
};

/// @brief Sends one request to one target over one connection.
///
/// Only the response to this request reaches the listener. Responses to other requests are
/// discarded, malformed data fails the send, and bytes after the response close the connection.
class TargetSend : private net::StreamListener
{
public:
    TargetSend(net::Reactor &reactor, TargetPool &pool, SendListener &listener);
    ~TargetSend() override;

    /// @brief Sets the listener of the further events.
    void setListener(SendListener &listener) { m_listener = &listener; }

    /// @brief Connects to the target and sends the request. The send does not end before this
    ///        function has returned.
    /// @param target For `Receiver::Instance`, the address of an instance and an id for it.
    /// @param head Of the request, with the empty line at its end.
    /// @param body Not copied: all sends of a request share it.
    void start(const fleet::TargetEntry &target, Receiver receiver, std::string head,
               std::shared_ptr<const std::string> body, std::string method, std::string requestId,
               bool needsNewConnection);

    /// @brief Closes the connection, by which the target notices the cancellation. What it has not
    ///        received of the request does not reach it any more. The listener is not called again.
    void cancel();

    /// @brief Stops or resumes reading the response, which the target notices as backpressure.
    void pauseInput(bool isPaused);

    bool isPaused() const { return m_isPaused; }

    /// @brief Returns whether the request has been written and the response is not complete.
    bool isInProgress() const { return m_isSent && !m_isOver; }
    const fleet::TargetEntry &target() const { return m_target; }

    /// @brief Returns the fields of the current response; default values before its head.
    const platform::ResponseFields &responseFields() const { return m_fields; }
    bool isReused() const { return m_connection.isReused; }

    /// @brief Returns how the body of the current response is delimited; `None` before its head.
    http::Framing framing() const { return m_reader.framing.framing; }

    /// @brief Returns whether the target ended the connection.
    bool hasEnded() const { return m_end.has_value(); }

    /// @brief Returns the start stamp of the target when the request was sent.
    std::int64_t startedAt() const { return m_startedAt; }

    /// @brief Returns how the target ended the connection, or "open" if it did not.
    std::string_view connectionEnd() const { return m_end ? nameOf(*m_end) : "open"; }

private:
    void onConnected() override;
    void onBytes() override;
    void onEnd(net::StreamEnd end) override;

    /// @brief Fails the send, soon, because the listener lets nothing be sent.
    void withhold();
    void writeRequest();

    /// @brief Tells the listener, once, that the target may execute the request.
    void reportSent();

    /// @brief Parses the next response head. Returns false if the body cannot be read yet.
    bool readHead();

    void readBody();
    void complete();

    /// @brief Finds out whether the end of the connection was the end of the response.
    void confirmEnd(int checks = 1);
    void onEndReported(const limits::EndReport &report, int checks);

    /// @brief Completes the response once the target can no longer reset it because of unread
    ///        parts of the request.
    void completeOnceSettled();

    /// @brief Ends the send because of the response's head. Keeps the connection if the body has
    ///        arrived already.
    void discardResponse(limits::SendFailure failure);

    /// @brief Returns whether the connection can be used again after a complete response.
    bool keepsConnection() const;

    void fail(limits::SendFailure failure, const std::string &failedTargetAddress = {});
    void release(bool mayReuse);

    net::Reactor &m_reactor;
    TargetPool &m_pool;
    SendListener *m_listener;
    fleet::TargetEntry m_target;
    TargetConnection m_connection;
    std::string m_requestHead;
    std::shared_ptr<const std::string> m_requestBody;
    std::string m_method;
    std::string m_requestId;
    net::TimerId m_connectTimer = 0;
    net::TimerId m_endCheckTimer = 0;
    std::int64_t m_startedAt = 0; ///< Start stamp of the target when the request was sent.
    http::ResponseHead m_head;
    platform::ResponseFields m_fields;
    http::BodyReader m_reader;
    std::optional<net::StreamEnd> m_end;
    Milliseconds m_unsettledAt; ///< When the response ended, or the request was last undelivered.
    std::shared_ptr<net::HttpClient> m_endCheck; ///< Null unless an end is being confirmed.
    std::size_t m_interimBytes = 0;
    std::size_t m_discardedBytes = 0; ///< Of unrelated responses.
    std::size_t m_bodyBytes = 0;
    bool m_isRelay = false; ///< The receiver is another instance.
    bool m_isPaused = false;
    bool m_isStarting = false; ///< `start` writes the request on a kept connection.
    bool m_isSent = false; ///< The request was written, though maybe to no avail.
    bool m_isReported = false;
    bool m_hasHead = false;
    bool m_isUnrelated = false; ///< The current response belongs to another request.
    bool m_isOver = true;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace egretmount::node
