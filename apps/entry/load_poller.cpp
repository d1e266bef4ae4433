#include "load_poller.h"

#include <Poco/Exception.h>

#include "http/client.h"
#include "http/headers.h"
#include "http/load_report.h"

namespace egretmount::entry {

using namespace literals;

namespace {

constexpr int threadCount = 4;
constexpr Milliseconds readTimeout = 300_ms;

} // namespace

LoadPoller::LoadPoller(kernel::Loop &loop, Listener listener)
    : m_loop(loop)
    , m_listener(std::move(listener))
{
    m_threads.reserve(threadCount);
    for (int i = 0; i < threadCount; ++i)
        m_threads.emplace_back([this] { work(); });
}

LoadPoller::~LoadPoller()
{
    stop();
}

void LoadPoller::poll(const TargetId &target, const std::string &address)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_current.insert(target).second)
        return;
    m_orders.push_back({ target, address });
    m_changed.notify_one();
}

void LoadPoller::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
        m_changed.notify_all();
    }
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void LoadPoller::work()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] { return m_isStopping || !m_orders.empty(); });
        if (m_isStopping)
            return;
        const Order order = m_orders.front();
        m_orders.pop_front();
        lock.unlock();
        read(order);
        lock.lock();
        m_current.erase(order.target);
    }
}

void LoadPoller::read(const Order &order)
{
    try {
        const std::unique_ptr<http::Reply> reply =
            http::fetch(order.address, "/v1/load", readTimeout);
        routing::LoadReport report;
        if (!http::readLoadReport(reply->response.get(http::loadHeader, ""), report))
            return;
        const Milliseconds now = monotonicNow();
        m_loop.post(
            [listener = m_listener, order, report, now] { listener(order.target, report, now); });
    } catch (const Poco::Exception &) {
        // The next poll asks again; without reports the target stays cold.
        return;
    }
}

} // namespace egretmount::entry
