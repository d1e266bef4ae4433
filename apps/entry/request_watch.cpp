#include "request_watch.h"

#include <algorithm>

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr Milliseconds sweepInterval = 10_ms;
constexpr Milliseconds answerGrace = 500_ms; // for the write of the deadline's answer
constexpr int sweepsPerCallerCheck = 10;

} // namespace

RequestWatch::RequestWatch(Milliseconds deadline,
                           const std::optional<http::ConnectionMonitor> &caller)
    : m_deadline(deadline)
    , m_caller(caller)
{ }

Interruption RequestWatch::interruption() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_interruption;
}

void RequestWatch::setCall(const std::shared_ptr<http::ClientCall> &call)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_call = call;
    if (m_call && m_interruption != Interruption::None)
        m_call->abort();
}

void RequestWatch::close()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isClosed = true;
    m_call.reset();
}

void RequestWatch::check(Milliseconds now, bool checkCaller)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_isClosed)
        return;
    if (m_interruption != Interruption::None) {
        if (m_caller && now >= m_interruptedAt + answerGrace)
            m_caller->shutDown();
        return;
    }
    if (now >= m_deadline)
        m_interruption = Interruption::DeadlinePassed;
    else if (checkCaller && m_caller && m_caller->isDisconnected())
        m_interruption = Interruption::CallerGone;
    if (m_interruption == Interruption::None)
        return;
    m_interruptedAt = now;
    if (m_call)
        m_call->abort();
}

void WatchService::start()
{
    m_loop.every(sweepInterval, [this] { sweep(); });
}

void WatchService::add(const std::shared_ptr<RequestWatch> &watch)
{
    m_loop.post([this, watch] { m_watches.push_back(watch); });
}

void WatchService::sweep()
{
    m_sweeps = (m_sweeps + 1) % sweepsPerCallerCheck;
    const Milliseconds now = monotonicNow();
    const auto isDone = [this, now](const std::weak_ptr<RequestWatch> &weak) {
        const std::shared_ptr<RequestWatch> watch = weak.lock();
        if (watch)
            watch->check(now, m_sweeps == 0);
        return !watch;
    };
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(), isDone), m_watches.end());
}

} // namespace egretmount::entry
