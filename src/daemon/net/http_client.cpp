#include "net/http_client.h"

#include <optional>

#include <glog/logging.h>

#include "net/deflate.h"

namespace egretmount::net {

namespace {

constexpr std::size_t maxHeadBytes = 64UL * 1024;

} // namespace

HttpClient::HttpClient(Reactor &reactor, std::string address, BodyEncoding accepted)
    : m_reactor(reactor)
    , m_address(std::move(address))
    , m_accepted(accepted)
{ }

HttpClient::~HttpClient()
{
    *m_isAlive = false;
    m_reactor.cancel(m_timer);
    if (m_stream)
        m_stream->closeWithoutDelivery();
}

void HttpClient::get(const std::string &target, Milliseconds timeout, Done done)
{
    const std::string accepted =
        m_accepted == BodyEncoding::Deflate ? "Accept-Encoding: deflate\r\n" : "";
    startRequest("GET " + target + " HTTP/1.1\r\nHost: " + m_address + "\r\n" + accepted + "\r\n",
                 timeout, std::move(done));
}

void HttpClient::post(const std::string &target, const std::string &json, Milliseconds timeout,
                      Done done)
{
    startRequest("POST " + target + " HTTP/1.1\r\nHost: " + m_address
                     + "\r\nContent-Type: application/json\r\nContent-Length: "
                     + std::to_string(json.size()) + "\r\n\r\n" + json,
                 timeout, std::move(done));
}

void HttpClient::startRequest(std::string request, Milliseconds timeout, Done done)
{
    if (isBusy()) {
        rejectRequest(request, std::move(done));
        return;
    }
    m_done = std::move(done);
    m_head = {};
    m_hasHead = m_wasEndedByServer = false;
    m_body.clear();
    m_request = std::move(request);
    startTimer(timeout);
    const bool isKept = m_stream && m_stream->isOpen() && m_stream->input().empty();
    if (isKept && writeOnKept())
        return;
    if (m_stream)
        m_stream->close();
    m_hasConnected = false;
    m_stream = TcpStream::connect(m_reactor, m_address, this);
}

void HttpClient::rejectRequest(const std::string &request, Done done)
{
    LOG(ERROR) << "net: request rejected because another one is in progress server=" << m_address
               << " request=\"" << request.substr(0, request.find("\r\n")) << "\" in_progress=\""
               << m_request.substr(0, m_request.find("\r\n")) << '"';
    m_reactor.defer([isAlive = m_isAlive, done = std::move(done)] {
        if (*isAlive)
            done(0, {});
    });
}

bool HttpClient::writeOnKept()
{
    const std::shared_ptr<TcpStream> stream = m_stream;
    m_isStarting = true;
    stream->write(m_request);
    m_isStarting = false;
    if (stream->isOpen())
        return true;
    if (stream->unsent() >= m_request.size())
        return false;
    startTimer(Milliseconds()); // a part was sent; fails after this call
    return true;
}

void HttpClient::startTimer(Milliseconds timeout)
{
    m_reactor.cancel(m_timer);
    m_timer = m_reactor.after(timeout, [this] {
        m_timer = 0;
        fail();
    });
}

void HttpClient::cancel()
{
    fail();
}

void HttpClient::onConnected()
{
    m_hasConnected = true;
    m_stream->write(m_request);
}

void HttpClient::onBytes()
{
    if (!m_done) {
        fail(); // unexpected bytes: no request is in progress
        return;
    }
    std::string &input = m_stream->input();
    while (!m_hasHead) {
        const std::size_t end = input.find("\r\n\r\n");
        if (end == std::string::npos) {
            if (input.size() > maxHeadBytes)
                fail();
            return;
        }
        const tl::expected<http::ResponseHead, http::HeadProblem> head =
            http::parseResponseHead(std::string_view(input).substr(0, end));
        const tl::expected<http::BodyFraming, http::HeadProblem> framing =
            head ? http::responseFraming(*head, {}) : tl::unexpected(head.error());
        if (!framing) {
            fail();
            return;
        }
        input.erase(0, end + 4);
        m_head = *head;
        m_hasHead = head->status >= 200; // 1xx responses precede the final one
        m_reader = http::makeBodyReader(*framing);
    }
    const http::BodyState state = http::readBody(m_reader, input, m_body);
    if (state == http::BodyState::Malformed || m_body.size() > m_maxBodyBytes)
        fail();
    else if (state == http::BodyState::Complete)
        finish(decodeBody() ? m_head.status : 0);
}

bool HttpClient::decodeBody()
{
    if (m_accepted != BodyEncoding::Deflate
        || http::fieldValue(m_head.fields, "Content-Encoding") != "deflate")
        return true;
    std::optional<std::string> body = inflate(m_body, m_maxBodyBytes);
    if (body)
        m_body = std::move(*body);
    return body.has_value();
}

void HttpClient::onEnd(StreamEnd end)
{
    m_stream.reset();
    if (m_isStarting)
        return; // `writeOnKept` handles it
    m_wasEndedByServer = m_hasConnected && end != StreamEnd::TimedOut;
    if (end == StreamEnd::Closed && m_done && m_hasHead && http::onEndOfInput(m_reader))
        finish(m_head.status);
    else
        fail();
}

void HttpClient::fail()
{
    if (m_stream) {
        m_stream->closeWithoutDelivery();
        m_stream.reset();
    }
    finish(0);
}

void HttpClient::finish(int status)
{
    m_reactor.cancel(m_timer);
    if (m_stream
        && (!http::keepsConnection(m_head.fields, m_head.minorVersion)
            || m_reader.framing.framing == http::Framing::UntilClose)) {
        m_stream->close();
        m_stream.reset();
    }
    if (!m_done)
        return;
    const Done done = std::move(m_done);
    m_done = nullptr;
    done(status, std::move(m_body));
}

} // namespace egretmount::net
