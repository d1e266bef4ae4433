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

/// @brief One request being served, on the server thread that belongs to its connection.
class Exchange
{
public:
    Exchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

    Poco::Net::HTTPServerRequest &request() { return m_request; }
    Poco::Net::HTTPServerResponse &response() { return m_response; }
    const std::string &path() const { return m_path; }

    /// @brief The part of the path behind the route's prefix.
    const std::string &pathSuffix() const { return m_pathSuffix; }
    void setPathSuffix(std::string pathSuffix) { m_pathSuffix = std::move(pathSuffix); }

    /// @brief A query parameter. @return `fallback` if the request lacks it.
    std::string query(const std::string &key, const std::string &fallback = {}) const;

    /// @brief A request header. @return `fallback` if the request lacks it.
    std::string header(const std::string &name, const std::string &fallback = {}) const;

    /// @brief Reads the body. @return An error if it is longer than `maxBytes`.
    Result<std::string> readBody(std::size_t maxBytes);

    /// @brief Sends a whole response.
    void send(Poco::Net::HTTPResponse::HTTPStatus status, const std::string &contentType,
              const std::string &body);

    /// @brief Sends an error as JSON with its verdict, error id and time to come back.
    void sendError(const Error &error);

    /// @brief Starts a server-sent event stream. @return The stream to write events to.
    std::ostream &startEventStream();

    /// @brief True if the head of the response is already sent.
    bool isStarted() const { return m_response.sent(); }

private:
    Poco::Net::HTTPServerRequest &m_request;
    Poco::Net::HTTPServerResponse &m_response;
    std::string m_path;
    std::string m_pathSuffix;
    Poco::URI::QueryParameters m_query;
};

/// @brief Limits of a server.
struct ServerLimits
{
    int maxThreads = 512; ///< Requests served at one time.
    int maxQueued = 64; ///< Connections that wait for a thread.
    Milliseconds idleTimeout = Milliseconds(10'000); ///< Of one read or write on a connection.
};

/// @brief Handles one request. Exceptions close the connection.
using Handler = std::function<void(Exchange &)>;

/// @brief An HTTP server with handlers by method and path prefix.
class Server
{
public:
    explicit Server(const ServerLimits &limits = {});
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// @brief Adds a handler; the longest matching prefix wins. @pre Not started.
    void route(const std::string &method, const std::string &prefix, Handler handler);

    /// @brief Listens and serves.
    /// @param address `IP:port`.
    /// @throws std::runtime_error if the address cannot be listened on.
    void start(const std::string &address);

    /// @brief Closes the listening socket and idle connections, waits for the requests in hand.
    void stop();

    /// @brief Requests being served now.
    int activeRequests() const;

private:
    class Factory;
    struct Route;

    ServerLimits m_limits;
    std::shared_ptr<std::vector<Route>> m_routes;
    std::unique_ptr<Poco::ThreadPool> m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

/// @brief HTTP status that goes with an error.
Poco::Net::HTTPResponse::HTTPStatus statusOf(const Error &error);

/// @brief An error as the JSON object that callers receive.
std::string errorJson(const Error &error);

} // namespace egretmount::http
