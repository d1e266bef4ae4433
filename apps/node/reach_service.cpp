#include "reach_service.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "fleet_service.h"
#include "metrics_service.h"
#include "peer_service.h"

namespace egretmount::node {

namespace {

// A target on the same site accepts a connection within some milliseconds.
constexpr Milliseconds probeTimeout = Milliseconds(250);
constexpr Milliseconds checkInterval = Milliseconds(50);

} // namespace

/// @brief A connection that is closed as soon as it is established.
class ReachService::Probe : private net::StreamListener
{
public:
    Probe(ReachService &owner, fleet::TargetEntry target)
        : m_owner(owner)
        , m_reactor(owner.m_reactor)
        , m_startedAt(owner.m_reactor.now())
        , m_target(std::move(target))
        , m_stream(net::TcpStream::connect(owner.m_reactor, m_target.address, this))
        , m_timer(owner.m_reactor.after(probeTimeout, [this] { end(false); }))
    { }

    ~Probe() override
    {
        m_reactor.cancel(m_timer);
        m_stream->close();
    }

    const TargetId &target() const { return m_target.id; }
    Milliseconds startedAt() const { return m_startedAt; }

private:
    void onConnected() override { end(true); }
    void onBytes() override { }
    void onEnd(net::StreamEnd) override { end(false); }

    void end(bool isConnected)
    {
        if (std::exchange(m_isOver, true))
            return;
        m_owner.onProbeEnded(m_target.id, isConnected);
    }

    ReachService &m_owner;
    net::Reactor &m_reactor; ///< Outlives the owner, and so may this probe.
    Milliseconds m_startedAt;
    fleet::TargetEntry m_target;
    std::shared_ptr<net::TcpStream> m_stream;
    net::TimerId m_timer = 0;
    bool m_isOver = false;
};

ReachService::ReachService(net::Reactor &reactor, kernel::ServiceRegistry &registry)
    : m_reactor(reactor)
    , m_registry(registry)
    , m_random(std::random_device()())
{ }

ReachService::~ReachService() = default;

void ReachService::start()
{
    m_fleet = &m_registry.find<FleetService>();
    m_peers = &m_registry.find<PeerService>();
    m_registry.find<MetricsService>().addGauge("reaches_no_target",
                                               [this] { return reachesNone() ? 1.0 : 0.0; });
    m_reactor.every(checkInterval, [this] {
        probe();
        answerQuestions();
    });
}

void ReachService::onConnected(const TargetId &target)
{
    const Milliseconds now = m_reactor.now();
    limits::recordTargetOutcome(m_reach, target, true, now);
    const Milliseconds since = m_reach.notReachedSince.value_or(now);
    if (limits::recordConnected(m_reach, now)) {
        LOG(WARNING) << "reach: targets reached again after_ms=" << (now - since).count();
        notifyListeners();
    }
    if (!m_questions.empty())
        m_reactor.defer([this] { answerQuestions(); });
}

void ReachService::onConnectFailed(const TargetId &target)
{
    limits::recordTargetOutcome(m_reach, target, false, m_reactor.now());
    checkReach();
}

void ReachService::checkReach()
{
    limits::recordConnectFailed(m_reach, m_reactor.now());
    probe();
}

void ReachService::probe()
{
    const Milliseconds now = m_reactor.now();
    const std::size_t due = limits::probesDue(m_reach, m_probes.size(), now);
    if (due == 0)
        return;
    m_reach.probedAt = now;
    for (const fleet::TargetEntry &target :
         limits::chooseProbes(m_reach, m_fleet->table(), due, m_random()))
        m_probes.push_back(std::make_shared<Probe>(*this, target));
}

void ReachService::onProbeEnded(const TargetId &target, bool isConnected)
{
    const auto ended =
        std::find_if(m_probes.begin(), m_probes.end(), [&](const std::shared_ptr<Probe> &probe) {
            return &probe->target() == &target;
        });
    // Deferred because the probe calls this function.
    m_reactor.defer([probe = *ended] {});
    const TargetId id = target;
    const Milliseconds startedAt = (*ended)->startedAt();
    m_probes.erase(ended);
    if (isConnected) {
        onConnected(id);
        return;
    }
    const Milliseconds now = m_reactor.now();
    if (limits::recordProbeFailed(m_reach, id, m_fleet->table().targets.size(), startedAt, now)) {
        const std::optional<Milliseconds> others = m_peers->contactOfOthers();
        LOG(WARNING) << "reach: no target reached probes=" << m_reach.failedProbes.size()
                     << " targets=" << m_fleet->table().targets.size()
                     << " failing_ms=" << (now - *m_reach.failingSince).count()
                     << " contact_age_ms=" << (now - m_reach.contactAt).count()
                     << " others_contact_age_ms="
                     << (others ? std::to_string((now - *others).count()) : "unknown");
        notifyListeners();
    }
    probe();
}

void ReachService::findFault(std::function<void(limits::Fault)> done)
{
    m_questions.push_back({ m_reactor.now(), std::move(done) });
    checkReach();
}

void ReachService::answerQuestions()
{
    const Milliseconds now = m_reactor.now();
    const std::optional<Milliseconds> others = m_peers->contactOfOthers();
    std::vector<std::pair<Question, limits::Fault>> answered;
    for (std::size_t i = 0; i < m_questions.size();) {
        const limits::Fault fault =
            limits::faultOf(m_reach, m_questions[i].failedAt, m_reach.connectedAt, others, now);
        if (fault == limits::Fault::Unknown) {
            ++i;
            continue;
        }
        answered.emplace_back(std::move(m_questions[i]), fault);
        m_questions.erase(m_questions.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const auto &[question, fault] : answered)
        question.done(fault);
}

void ReachService::notifyListeners() const
{
    for (const std::function<void()> &listener : m_listeners)
        listener();
}

} // namespace egretmount::node
