#include "target_pool.h"

#include <algorithm>

#include <glog/logging.h>

#include "fleet_service.h"
#include "peer_service.h"

namespace egretmount::node {

namespace {

// A target that does not say how long it keeps idle connections may close them after this.
constexpr Milliseconds unstatedIdleTime = Milliseconds(2'000);
// A connection is given up this long before the target would close it.
constexpr Milliseconds idleMargin = Milliseconds(700);
constexpr Milliseconds idleSweep = Milliseconds(250);
// Idle connections to one target: what one instance sends it in a burst.
constexpr std::size_t maxIdle = 16;
// Keeps off a target after a failure, twice as long after each further one.
constexpr Milliseconds firstDistrust = Milliseconds(700);
constexpr Milliseconds longestDistrust = Milliseconds(5'000);
constexpr double failureSmoothing = 0.1; // about the last ten sends count

} // namespace

/// @brief An idle connection: anything that happens on it ends it.
class TargetPool::Idle : private net::StreamListener
{
public:
    Idle(std::shared_ptr<net::TcpStream> stream, Milliseconds until)
        : m_stream(std::move(stream))
        , m_until(until)
    {
        m_stream->setListener(this);
    }
    ~Idle() override
    {
        if (m_stream)
            m_stream->close();
    }

    bool isUsable(Milliseconds now) const
    {
        return m_stream && m_stream->isOpen() && now < m_until;
    }

    std::shared_ptr<net::TcpStream> take() { return std::move(m_stream); }

private:
    // Bytes that answer no request, such as a second answer, must not reach the next caller.
    void onBytes() override { m_stream->close(); }
    void onEnd(net::StreamEnd) override { }

    std::shared_ptr<net::TcpStream> m_stream;
    Milliseconds m_until;
};

TargetPool::TargetPool(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
{ }

TargetPool::~TargetPool() = default;

void TargetPool::start()
{
    m_peers = &m_registry.find<PeerService>();
    m_registry.find<FleetService>().onTargetEnded([this](const TargetId &id) {
        closeIdle(id);
        TargetHealth &health = m_health[keyOf(id)];
        health.failuresInRow = 0;
        health.failureRate = 0;
        health.distrustedUntil = Milliseconds();
    });
    m_reactor.every(idleSweep, [this] { closeExpired(); });
}

TargetConnection TargetPool::take(const fleet::TargetEntry &target, bool mustBeFresh,
                                  net::StreamListener *listener)
{
    std::list<std::shared_ptr<Idle>> &idle = m_idle[target.id.value];
    while (!mustBeFresh && !idle.empty()) {
        const std::shared_ptr<Idle> last = idle.back(); // the one used last is the least stale
        idle.pop_back();
        if (!last->isUsable(m_reactor.now()))
            continue;
        const std::shared_ptr<net::TcpStream> stream = last->take();
        stream->setListener(listener);
        return { stream, true };
    }
    return { net::TcpStream::connect(m_reactor, target.address, listener), false };
}

void TargetPool::giveBack(const TargetId &target, const std::shared_ptr<net::TcpStream> &stream,
                          std::optional<Milliseconds> idleTime)
{
    std::list<std::shared_ptr<Idle>> &idle = m_idle[target.value];
    const Milliseconds time = idleTime.value_or(unstatedIdleTime) - idleMargin;
    if (!stream->isOpen() || !stream->input().empty() || time <= Milliseconds()
        || idle.size() >= maxIdle) {
        stream->close();
        return;
    }
    idle.push_back(std::make_shared<Idle>(stream, m_reactor.now() + time));
}

void TargetPool::noteSuccess(placement::EngineKey target)
{
    TargetHealth &health = m_health[target];
    health.failuresInRow = 0;
    health.failureRate -= health.failureRate * failureSmoothing;
}

void TargetPool::noteFailure(placement::EngineKey target, bool isSilent)
{
    TargetHealth &health = m_health[target];
    ++health.failuresInRow;
    health.failureRate += (1 - health.failureRate) * failureSmoothing;
    // A target that answers at all is alive: its share of failures makes it a worse choice, and
    // keeping off it would only crowd the others.
    if (!isSilent)
        return;
    const int doublings = std::min(health.failuresInRow - 1, 4);
    const Milliseconds time =
        std::min(firstDistrust * (std::int64_t(1) << doublings), longestDistrust);
    health.distrustedUntil = std::max(health.distrustedUntil, m_reactor.now() + time);
    LOG(INFO) << "targets: distrusted target=" << target << " failures=" << health.failuresInRow
              << " for_ms=" << time.count();
    m_peers->tellDistrust(target);
}

void TargetPool::distrustUntil(placement::EngineKey target, Milliseconds until)
{
    TargetHealth &health = m_health[target];
    health.distrustedUntil = std::max(health.distrustedUntil, until);
}

bool TargetPool::isDistrusted(placement::EngineKey target) const
{
    const auto found = m_health.find(target);
    return found != m_health.end() && m_reactor.now() < found->second.distrustedUntil;
}

void TargetPool::closeIdle(const TargetId &target)
{
    m_idle.erase(target.value);
}

void TargetPool::closeExpired()
{
    for (auto position = m_idle.begin(); position != m_idle.end();) {
        position->second.remove_if(
            [this](const std::shared_ptr<Idle> &idle) { return !idle->isUsable(m_reactor.now()); });
        position = position->second.empty() ? m_idle.erase(position) : std::next(position);
    }
}

} // namespace egretmount::node
