#include "log_sink.h"

#include <array>
#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace egretmount::node {

namespace {

constexpr std::size_t maxPendingBytes = 256UL * 1024; // a few thousand lines
constexpr std::size_t warningReserveBytes = 32UL * 1024; // for warnings and errors only
constexpr std::array<char, 4> severityLetters = { 'I', 'W', 'E', 'F' };

} // namespace

LogSink::LogSink()
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void LogSink::send(google::LogSeverity severity, const char *, const char *, int,
                   const google::LogMessageTime &time, const char *message, std::size_t length)
{
    const bool isBelowWarning = severity < google::GLOG_WARNING;
    if (m_pending.size() + length > maxPendingBytes - (isBelowWarning ? warningReserveBytes : 0)) {
        ++m_dropped;
        ++m_unreportedDrops;
        return;
    }
    std::array<char, 40> prefix {};
    std::snprintf(prefix.data(), prefix.size(), "%c %02d:%02d:%02d.%06d ",
                  severityLetters.at(static_cast<std::size_t>(severity)), time.hour(), time.min(),
                  time.sec(), static_cast<int>(time.usec()));
    m_pending.append(prefix.data()).append(message, length).push_back('\n');
}

void LogSink::flush()
{
    if (m_unreportedDrops > 0 && m_pending.size() < maxPendingBytes / 2) {
        m_pending += "W log: lines dropped count=" + std::to_string(m_unreportedDrops) + '\n';
        m_unreportedDrops = 0;
    }
    while (!m_pending.empty()) {
        const ssize_t count = write(STDOUT_FILENO, m_pending.data(), m_pending.size());
        if (count <= 0)
            return; // the pipe is full: the next flush tries again
        m_pending.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace egretmount::node
