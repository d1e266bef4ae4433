#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <egretmount/core/clock.h>
#include <egretmount/core/error.h>

namespace egretmount::http {

/// @brief An HTTP request that is being served, with its response. Used on the server thread of its
///        connection only.
class Exchange
{
public:
    Exchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    ~Exchange();

    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    Poco::Net::HTTPServerRequest &request() { return m_request; }
    Poco::Net::HTTPServerResponse &response() { return m_response; }
    const std::string &path() const { return m_path; }

    /// @brief Returns the part of the path after the prefix of the route.
    const std::string &pathSuffix() const { return m_pathSuffix; }
    void setPathSuffix(std::string pathSuffix) { m_pathSuffix = std::move(pathSuffix); }

    /// @brief Returns the value of a query parameter, or `fallback` if the request lacks it.
    std::string query(const std::string &key, const std::string &fallback = {}) const;

    /// @brief Returns the value of a request header, or `fallback` if the request lacks it.
    std::string header(const std::string &name, const std::string &fallback = {}) const;

    /// @brief Reads the request body.
    /// @return `BodyTooLarge` if the body is longer than `maxBytes`; `MalformedRequest` if it
    ///         breaks off before the end that its framing demands.
    Result<std::string> readBody(std::size_t maxBytes);

    /// @brief Sends a complete response.
    void send(Poco::Net::HTTPResponse::HTTPStatus status, const std::string &contentType,
              const std::string &body);

    /// @brief Sends an error as a JSON body, with headers for its verdict, name and retry delay.
    void sendError(const Error &error);

    /// @brief Starts a response with server-sent events.
    ///
    /// Unless `finishEventStream` follows, the response ends so that callers see it is incomplete:
    /// without the last chunk, or by a reset for callers without chunks.
    /// @return The stream to which to write the events.
    std::ostream &startEventStream();

    /// @brief Declares the event stream complete.
    void finishEventStream();

    /// @brief Returns true if the head of the response has been sent.
    bool isStarted() const { return m_response.sent(); }

private:
    Poco::Net::HTTPServerRequest &m_request;
    Poco::Net::HTTPServerResponse &m_response;
    std::string m_path;
    std::string m_pathSuffix;
    Poco::URI::QueryParameters m_query;
    bool m_isUnfinished = false; ///< An event stream has begun and is not complete.
};

/// @brief Limits of a server.
struct ServerLimits
{
    int maxThreads = 512; ///< Connections that are served concurrently, one thread each.
    int maxQueued = 64; ///< Connections that may wait for a thread.
    Milliseconds idleTimeout = Milliseconds(10'000); ///< For each read and write, and keep-alive.
};

/// @brief Handles one request. An exception closes the connection.
using Handler = std::function<void(Exchange &)>;

/// @brief A multithreaded HTTP server that selects handlers by method and path prefix.
class Server
{
public:
    explicit Server(const ServerLimits &limits = {});
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// @brief Adds a handler. If several prefixes match, the longest wins. @pre The server has not
    ///        been started.
    void route(const std::string &method, const std::string &prefix, Handler handler);

    /// @brief Starts listening and serving requests.
    /// @param address `IP:port`.
    /// @throws std::runtime_error if the address cannot be bound or listened on.
    void start(const std::string &address);

    /// @brief Closes the listening socket and idle connections, and waits for requests in progress.
    void stop();

    /// @brief Returns the number of requests in progress, counted as connections that occupy a
    ///        server thread.
    int activeRequests() const;

private:
    class Factory;
    struct Route;

    ServerLimits m_limits;
    std::shared_ptr<std::vector<Route>> m_routes;
    std::unique_ptr<Poco::ThreadPool> m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

/// @brief Returns the HTTP status for an error.
Poco::Net::HTTPResponse::HTTPStatus statusOf(const Error &error);

/// @brief Serializes an error as the JSON object that callers receive.
std::string errorJson(const Error &error);

} // namespace egretmount::http
