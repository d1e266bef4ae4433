#include "cancel_service.h"

#include <Poco/Exception.h>
#include <glog/logging.h>

#include "http/client.h"
#include "http/headers.h"

namespace egretmount::entry {

using namespace literals;
using Poco::Net::HTTPRequest;

namespace {

constexpr Milliseconds cancelTimeout = 500_ms;
constexpr std::size_t maxQueued = 512;
constexpr int threadCount = 4;

void send(const Cancellation &cancellation)
{
    try {
        HTTPRequest request(HTTPRequest::HTTP_DELETE, "/v1/streams/" + cancellation.id.value,
                            Poco::Net::HTTPMessage::HTTP_1_1);
        request.set(http::ownerHeader, cancellation.owner);
        http::fetch(cancellation.address, request, {}, cancelTimeout);
    } catch (const Poco::Exception &) {
        // The target ends the stream by itself at the request's deadline.
        LOG_EVERY_N(INFO, 20) << "callers: a cancel was lost request=" << cancellation.id.value;
    }
}

} // namespace

CancelService::~CancelService()
{
    stop();
}

void CancelService::start()
{
    for (int i = 0; i < threadCount; ++i)
        m_threads.emplace_back([this] { work(); });
}

void CancelService::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

void CancelService::cancel(Cancellation cancellation)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_queue.size() < maxQueued && !m_isStopping) {
            m_queue.push_back(std::move(cancellation));
            m_changed.notify_one();
            return;
        }
    }
    cancellation.done();
}

void CancelService::work()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
        if (m_queue.empty())
            return;
        const Cancellation cancellation = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        send(cancellation);
        cancellation.done();
        lock.lock();
    }
}

} // namespace egretmount::entry
