#pragma once

#include <cstdint>
#include <string>

#include <glog/logging.h>

namespace egretmount::node {

/// @brief Writes log lines to standard output without ever blocking.
///
/// Lines are held in a bounded buffer, a part of which is reserved for warnings and errors. Lines
/// that do not fit are dropped and counted; the count is written once there is room.
class LogSink : public google::LogSink
{
public:
    LogSink();

    void send(google::LogSeverity severity, const char *fullFilename, const char *baseFilename,
              int line, const google::LogMessageTime &time, const char *message,
              std::size_t length) override;
    using google::LogSink::send;

    /// @brief Writes as much of the buffer as the kernel accepts.
    void flush();

    std::uint64_t dropped() const { return m_dropped; }

private:
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0; ///< Dropped lines that the log does not report yet.
};

} // namespace egretmount::node
