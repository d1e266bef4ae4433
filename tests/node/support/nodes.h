#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <Poco/Net/StreamSocket.h>

#include <egretmount/core/clock.h>
#include <egretmount/http/body.h>
#include <egretmount/http/head.h>

#include "support/process.h"
#include "support/standin.h"

namespace egretmount::tests {

/// @brief An answer as a caller saw it.
struct Response
{
    int status = 0; ///< Zero: none came.
    http::Fields fields;
    std::string body;
    bool isComplete = false;
    Milliseconds elapsed;

    std::string field(const char *name) const
    {
        return std::string(http::fieldValue(fields, name).value_or(""));
    }
};

/// @brief A caller's connection, with blocking calls.
class Caller
{
public:
    explicit Caller(const std::string &address);

    void send(const std::string &bytes);
    Response receive(const std::string &method = "GET", Milliseconds timeout = Milliseconds(5'000));
    void close();

private:
    Poco::Net::StreamSocket m_socket;
    std::string m_input;
};

/// @brief A request in the platform's form.
struct CallerRequest
{
    std::string method = "POST";
    std::string target = "/stream/x";
    std::string id = "r1";
    std::string key = "key-1";
    std::string extraFields; ///< With line ends.
    std::string body;
    int deadlineMs = 3'000;
    std::string tokens = "1000,100";

    std::string text() const;
};

/// @brief Real instances beside a stand-in of the platform.
class Nodes
{
public:
    /// @param storeAddress Empty: the stand-in's own.
    Nodes(StandIn &standIn, int count, const std::string &logFile,
          const std::string &storeAddress = {});

    std::string callerAddress(int index) const;
    std::string directoryAddress(int index) const;
    std::string readinessAddress(int index) const;
    std::string metricsAddress(int index) const;
    Process &process(int index) { return m_processes[static_cast<std::size_t>(index)]; }
    const std::string &logFile() const { return m_logFile; }

    /// @brief Starts an instance, anew if it has run before.
    void start(int index);

    /// @brief Waits until all instances are ready and know each other. False: they are not.
    bool waitReady(std::size_t instances);

    /// @brief The addresses that an instance's directory names.
    std::vector<std::string> directory(int index) const;

    /// @brief One request on a connection of its own.
    Response sendRequest(int index, const CallerRequest &request,
               Milliseconds timeout = Milliseconds(5'000)) const;

private:
    std::string host(int index) const;

    StandIn &m_standIn;
    int m_count;
    std::string m_logFile;
    std::string m_storeAddress;
    std::vector<Process> m_processes;
};

/// @brief A configuration with a stream route, a resumable one, an idempotent and an unsafe one.
std::string testConfiguration(int version, const std::string &extraRoute = "");

} // namespace egretmount::tests
