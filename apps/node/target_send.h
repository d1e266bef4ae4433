#pragma once

#include <functional>
#include <memory>
#include <string>

#include <egretmount/fleet/target_table.h>
#include <egretmount/http/body.h>
#include <egretmount/http/head.h>
#include <egretmount/limits/next_step.h>

#include "net/reactor.h"
#include "net/tcp_stream.h"
#include "platform/messages.h"
#include "target_pool.h"

namespace egretmount::node {

/// @brief Hears how one send goes on. Each send ends with `onAnswerComplete` or `onSendFailed`.
class SendListener
{
public:
    SendListener() = default;
    SendListener(const SendListener &) = delete;
    SendListener &operator=(const SendListener &) = delete;
    virtual ~SendListener() = default;

    virtual void onRequestSent() = 0; ///< From now on the target may execute the request.
    /// @param inHand Requests that the target says it has in hand, if it does.
    virtual void onAnswerHead(http::ResponseHead head, std::optional<int> inHand) = 0;
    virtual void onAnswerBytes(std::string bytes) = 0;
    virtual void onAnswerComplete() = 0;

    /// @brief @param faultyAddress Of the target that is at fault, if the answer names one.
    virtual void onSendFailed(limits::SendFailure failure, const std::string &faultyAddress) = 0;
};

/// @brief One request to one target over one connection.
///
/// Passes on only what answers this very request: answers to other requests, bytes behind the
/// answer and bytes that are no answer end or outlive the connection without reaching a caller.
class TargetSend : private net::StreamListener
{
public:
    TargetSend(net::Reactor &reactor, TargetPool &pool, SendListener &listener);
    ~TargetSend() override;

    /// @brief Starts. @param request The whole request, head and body.
    void start(const fleet::TargetEntry &target, std::string request, std::string method,
               std::string requestId, bool mustBeFresh);

    /// @brief Ends the send; the target notices by the closed connection. Nothing is heard after.
    void cancel();

    const fleet::TargetEntry &target() const { return m_target; }
    bool isReused() const { return m_connection.isReused; }

private:
    void onConnected() override;
    void onBytes() override;
    void onEnd(net::StreamEnd end) override;

    void writeRequest();
    bool readHead();
    void readBody();
    void complete();
    void fail(limits::SendFailure failure, const std::string &faultyAddress = {});
    void release(bool mayReuse);

    net::Reactor &m_reactor;
    TargetPool &m_pool;
    SendListener &m_listener;
    fleet::TargetEntry m_target;
    TargetConnection m_connection;
    std::string m_request;
    std::string m_method;
    std::string m_requestId;
    net::TimerId m_connectTimer = 0;
    http::ResponseHead m_head;
    platform::AnswerFields m_fields;
    http::BodyReader m_reader;
    bool m_isSent = false;
    bool m_hasHead = false;
    bool m_isForeign = false;
    bool m_isOver = true;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace egretmount::node
