#include "http/server.h"

#include <algorithm>
#include <stdexcept>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <glog/logging.h>

#include "http/body_stream.h"
#include "http/headers.h"

namespace egretmount::http {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequestImpl;

namespace {

constexpr std::size_t readBlockBytes = 64UL * 1024;
// A server thread that receives a connection while the server is being stopped waits this long for
// another one before it exits, which delays the stop.
constexpr Milliseconds threadIdleTime = Milliseconds(500);
constexpr int listenBacklog = 256;
constexpr std::size_t threadStackBytes = 512UL * 1024;

bool hasChunks(const Poco::Net::HTTPServerRequest &request)
{
    return request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_0;
}

Poco::Net::StreamSocket &socketOf(Poco::Net::HTTPServerRequest &request)
{
    return dynamic_cast<HTTPServerRequestImpl &>(request).socket();
}

std::int64_t roundUpToSeconds(Milliseconds duration)
{
    return (duration.count() + 999) / 1000;
}

} // namespace

struct Server::Route
{
    std::string method;
    std::string prefix;
    Handler handler;
};

Exchange::Exchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    : m_request(request)
    , m_response(response)
{
    const Poco::URI uri(request.getURI());
    m_path = uri.getPath();
    m_query = uri.getQueryParameters();
}

// POCO writes the last chunk when it destroys the response, so the connection must be unusable by
// then.
Exchange::~Exchange()
{
    if (!m_isUnfinished)
        return;
    try {
        m_response.setKeepAlive(false);
        if (hasChunks(m_request))
            socketOf(m_request).shutdownSend();
        else
            socketOf(m_request).close(); // resets; POCO would shut the connection down before
    } catch (const Poco::Exception &error) {
        LOG_EVERY_N(INFO, 100) << "http: a connection was gone before its stream was complete"
                               << " reason=\"" << error.displayText() << '"';
    }
}

std::string Exchange::query(const std::string &key, const std::string &fallback) const
{
    for (const std::pair<std::string, std::string> &parameter : m_query) {
        if (parameter.first == key)
            return parameter.second;
    }
    return fallback;
}

std::string Exchange::header(const std::string &name, const std::string &fallback) const
{
    return m_request.get(name, fallback);
}

Result<std::string> Exchange::readBody(std::size_t maxBytes)
{
    std::string body;
    try {
        const BodyFraming framing = framingOf(m_request);
        BodyStream stream(dynamic_cast<HTTPServerRequestImpl &>(m_request).session(), framing);
        std::string block(readBlockBytes, '\0');
        while (framing.length <= maxBytes && body.size() <= maxBytes
               && (stream.read(block.data(), static_cast<std::streamsize>(block.size()))
                   || stream.gcount() > 0))
            body.append(block, 0, static_cast<std::size_t>(stream.gcount()));
        const bool isTooLong = framing.length > maxBytes || body.size() > maxBytes;
        if (!stream.buffer().isWhole() || stream.buffer().hasExcess())
            m_response.setKeepAlive(false);
        if (isTooLong)
            return fail(ErrorId::BodyTooLarge, Verdict::NotRun,
                        "the body is over " + std::to_string(maxBytes) + " bytes");
        if (stream.buffer().isWhole())
            return body;
    } catch (const Poco::Net::MessageException &) {
        m_response.setKeepAlive(false);
        return fail(ErrorId::MalformedRequest, Verdict::NotRun,
                    "the length of the body is ambiguous");
    }
    return fail(ErrorId::MalformedRequest, Verdict::NotRun, "the body breaks off");
}

void Exchange::send(HTTPResponse::HTTPStatus status, const std::string &contentType,
                    const std::string &body)
{
    m_response.setStatusAndReason(status);
    m_response.setContentType(contentType);
    m_response.sendBuffer(body.data(), body.size());
}

void Exchange::sendError(const Error &error)
{
    m_response.set(verdictHeader, std::string(nameOf(error.verdict)));
    m_response.set(errorHeader, std::string(nameOf(error.id)));
    if (error.retryAfter > Milliseconds()) {
        m_response.set("Retry-After", std::to_string(roundUpToSeconds(error.retryAfter)));
        m_response.set(retryAfterHeader, std::to_string(error.retryAfter.count()));
    }
    send(statusOf(error), "application/json", errorJson(error));
}

std::ostream &Exchange::startEventStream()
{
    m_response.setStatusAndReason(HTTPResponse::HTTP_OK);
    m_response.setContentType("text/event-stream");
    m_response.set("Cache-Control", "no-store");
    m_response.setChunkedTransferEncoding(hasChunks(m_request));
    m_isUnfinished = true;
    // Without chunks the end of the connection is the end of the response, also if the system
    // closes it for a killed process.
    if (!hasChunks(m_request))
        socketOf(m_request).setLinger(true, 0);
    return m_response.send();
}

void Exchange::finishEventStream()
{
    m_isUnfinished = false;
    if (!hasChunks(m_request))
        socketOf(m_request).setLinger(false, 0);
}

class Server::Factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit Factory(std::shared_ptr<std::vector<Route>> routes)
        : m_routes(std::move(routes))
    { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &request) override;

private:
    class RequestHandler;

    std::shared_ptr<std::vector<Route>> m_routes;
};

class Server::Factory::RequestHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit RequestHandler(std::shared_ptr<std::vector<Route>> routes)
        : m_routes(std::move(routes))
    { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        try {
            Exchange exchange(request, response);
            serve(exchange);
        } catch (const std::exception &error) {
            // The head of the response may have been sent already, so the error can only be
            // signalled by closing the connection.
            LOG_EVERY_N(INFO, 100)
                << "http: an exchange was aborted reason=\"" << error.what() << '"';
            response.setKeepAlive(false);
        }
    }

private:
    void serve(Exchange &exchange) const
    {
        const Route *match = nullptr;
        for (const Route &route : *m_routes) {
            const bool isMatch =
                exchange.request().getMethod() == route.method
                && exchange.path().compare(0, route.prefix.size(), route.prefix) == 0;
            if (isMatch && (!match || route.prefix.size() > match->prefix.size()))
                match = &route;
        }
        if (!match) {
            exchange.sendError(Error { ErrorId::UnknownPath, Verdict::NotRun,
                                       "no such method and path", Milliseconds() });
            return;
        }
        exchange.setPathSuffix(exchange.path().substr(match->prefix.size()));
        match->handler(exchange);
    }

    std::shared_ptr<std::vector<Route>> m_routes;
};

Poco::Net::HTTPRequestHandler *
Server::Factory::createRequestHandler(const Poco::Net::HTTPServerRequest &)
{
    return new RequestHandler(m_routes);
}

Server::Server(const ServerLimits &limits)
    : m_limits(limits)
    , m_routes(std::make_shared<std::vector<Route>>())
{ }

Server::~Server()
{
    stop();
}

void Server::route(const std::string &method, const std::string &prefix, Handler handler)
{
    m_routes->push_back({ method, prefix, std::move(handler) });
}

void Server::start(const std::string &address)
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    const Poco::Timespan timeout(m_limits.idleTimeout.count() * 1000);
    params->setTimeout(timeout);
    params->setKeepAliveTimeout(timeout);
    params->setMaxThreads(m_limits.maxThreads);
    params->setMaxQueued(m_limits.maxQueued);
    params->setThreadIdleTime(Poco::Timespan(threadIdleTime.count() * 1000));
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address), true, false);
        socket.listen(listenBacklog);
        constexpr int minThreads = 4;
        constexpr int idleSeconds = 30;
        m_threads = std::make_unique<Poco::ThreadPool>(minThreads, m_limits.maxThreads + 1,
                                                       idleSeconds, threadStackBytes);
        m_server = std::make_unique<Poco::Net::HTTPServer>(new Factory(m_routes), *m_threads,
                                                           socket, params);
        m_server->start();
    } catch (const Poco::Exception &error) {
        throw std::runtime_error("cannot listen on " + address + ": " + error.displayText());
    }
}

void Server::stop()
{
    if (!m_server)
        return;
    m_server->stopAll(true);
    m_threads->joinAll();
    m_server.reset();
    m_threads.reset();
}

int Server::activeRequests() const
{
    return m_server ? m_server->currentConnections() : 0;
}

HTTPResponse::HTTPStatus statusOf(const Error &error)
{
    switch (error.id) {
    case ErrorId::MalformedRequest:
    case ErrorId::InvalidDocument:
        return HTTPResponse::HTTP_BAD_REQUEST;
    case ErrorId::UnknownPath:
    case ErrorId::UnknownService:
        return HTTPResponse::HTTP_NOT_FOUND;
    case ErrorId::Unauthenticated:
        return HTTPResponse::HTTP_UNAUTHORIZED;
    case ErrorId::BodyTooLarge:
    case ErrorId::PromptTooLong:
        return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    case ErrorId::DeadlinePassed:
        return HTTPResponse::HTTP_GATEWAY_TIMEOUT;
    case ErrorId::StaleDocument:
        return HTTPResponse::HTTP_CONFLICT;
    case ErrorId::TeamLimitReached:
        return HTTPResponse::HTTP_TOO_MANY_REQUESTS;
    case ErrorId::TargetFailed:
    case ErrorId::StreamInterrupted:
        return HTTPResponse::HTTP_BAD_GATEWAY;
    case ErrorId::TicketRequired:
        return HTTPResponse::HTTP_PRECONDITION_REQUIRED;
    case ErrorId::TicketInvalid:
        return HTTPResponse::HTTP_FORBIDDEN;
    case ErrorId::TicketExpired:
        return HTTPResponse::HTTP_GONE;
    case ErrorId::PermitRefused:
        return HTTPResponse::HTTP_CONFLICT;
    case ErrorId::Overloaded:
    case ErrorId::DeadlineUnreachable:
    case ErrorId::NoTargetAvailable:
    case ErrorId::NotReady:
    case ErrorId::ShuttingDown:
    case ErrorId::PeerUnreachable:
        return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    }
    return HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
}

std::string errorJson(const Error &error)
{
    Poco::JSON::Object inner;
    inner.set("id", static_cast<int>(error.id));
    inner.set("name", std::string(nameOf(error.id)));
    inner.set("message", error.detail);
    inner.set("verdict", std::string(nameOf(error.verdict)));
    inner.set("retry_after_ms", error.retryAfter.count());
    Poco::JSON::Object outer;
    outer.set("error", inner);
    std::ostringstream stream;
    outer.stringify(stream);
    return stream.str();
}

} // namespace egretmount::http
