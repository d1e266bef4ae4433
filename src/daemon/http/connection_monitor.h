#pragma once

#include <Poco/Net/HTTPServerRequest.h>

namespace egretmount::http {

/// @brief Tells whether the caller of a request still holds its connection open.
///
/// Valid while the request is being served. A caller that closes its sending side counts as gone.
class ConnectionMonitor
{
public:
    /// @pre The body of the request has been read.
    explicit ConnectionMonitor(Poco::Net::HTTPServerRequest &request);

    /// @brief True once the caller has closed the connection. Never waits. Any thread.
    bool isDisconnected() const;

    /// @brief Makes reads from and writes to the caller fail at once. Any thread.
    void shutDown() const;

private:
    int m_descriptor;
};

} // namespace egretmount::http
