#pragma once

#include <Poco/Net/HTTPServerRequest.h>

namespace egretmount::http {

/// @brief Detects that the caller of a request has closed its connection.
///
/// May only be used while the request is being served. A half-close by the caller counts as a
/// disconnect.
class ConnectionMonitor
{
public:
    /// @pre The body of the request has been read.
    explicit ConnectionMonitor(Poco::Net::HTTPServerRequest &request);

    /// @brief Returns true if the caller has closed the connection. Does not block; may be called
    ///        from any thread.
    bool isDisconnected() const;

    /// @brief Makes reads from and writes to the connection fail immediately. May be called from
    ///        any thread.
    void shutDown() const;

private:
    int m_descriptor;
};

} // namespace egretmount::http
