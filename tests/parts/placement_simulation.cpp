#include "placement_simulation.h"

#include <algorithm>
#include <cmath>
#include <map>

#include <egretmount/placement/engine_cost.h>

namespace egretmount::model {

namespace {

constexpr double tickMs = 1;
constexpr double patienceMs = 12'000;

struct Reading
{
    std::uint64_t work = 0;
    double leftTokens = 0;
    double msPerToken = 0;
    bool isPart = false;
};

struct Writer
{
    std::uint64_t work = 0;
    int eventsLeft = 0;
    double context = 0;
    bool isInPass = false;
};

struct Engine
{
    std::vector<Reading> readings;
    std::vector<Writer> writers;
    double busyUntil = 0;
    int step = 0;
};

struct Job
{
    std::size_t served = 0;
    std::size_t first = 0;
    std::size_t partsLeft = 0;
    double lastEventAt = 0;
};

class Play
{
public:
    Play(const fleet::EngineSpeed &speed, int engines, const std::vector<Kind> &kinds,
         Policy policy, std::uint64_t seed)
        : m_speed(speed)
        , m_kinds(kinds)
        , m_policy(policy)
        , m_random(seed)
        , m_engines(static_cast<std::size_t>(engines))
    { }

    std::vector<Served> run(const Rates &rates, double lengthMs)
    {
        for (m_now = 0; m_now < lengthMs + patienceMs; m_now += tickMs) {
            if (m_now < lengthMs)
                arrive(rates);
            if (static_cast<int>(m_now) % 20 == 0)
                askAgain();
            for (std::size_t i = 0; i < m_engines.size(); ++i)
                advance(i);
        }
        return std::move(m_served);
    }

private:
    Milliseconds now() const { return Milliseconds(static_cast<std::int64_t>(m_now)); }

    void arrive(const Rates &rates)
    {
        for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
            const double chance = rates(kind, m_now) * tickMs / 1'000;
            if (std::uniform_real_distribution<double>(0, 1)(m_random) >= chance)
                continue;
            const Kind &of = m_kinds[kind];
            std::normal_distribution<double> size(-of.spread * of.spread / 2, of.spread);
            Served made;
            made.kind = kind;
            made.promptTokens = static_cast<TokenCount>(static_cast<double>(of.meanPrompt)
                                                        * std::exp(size(m_random)));
            made.arrivedAt = m_now;
            m_served.push_back(made);
            offer(m_served.size() - 1, 0);
        }
    }

    placement::Demand demandOf(const Served &served) const
    {
        const Kind &kind = m_kinds[served.kind];
        placement::Demand demand;
        demand.promptTokens = served.promptTokens;
        demand.answerTokens = m_speed.usualAnswer;
        demand.weight = placement::weightOf(m_speed, served.promptTokens);
        demand.latencyTarget = Milliseconds(static_cast<std::int64_t>(kind.latencyTargetMs));
        demand.pauseTarget = Milliseconds(static_cast<std::int64_t>(kind.pauseTargetMs));
        demand.waited = Milliseconds(static_cast<std::int64_t>(m_now - served.arrivedAt));
        demand.patience =
            Milliseconds(static_cast<std::int64_t>(std::max(2'000.0, 4 * kind.latencyTargetMs)));
        return demand;
    }

    placement::Outlook outlook() const
    {
        double known = 0;
        for (const auto &[id, work] : m_ledger.works)
            known += work.isShort ? 1 : 0;
        const double expected = placement::expectedInHand(m_shortDemand, now());
        return { std::max(known, (known + expected) / 2) };
    }

    bool isTaken(const placement::Demand &demand, Milliseconds turn) const
    {
        placement::LongLane lane;
        const int all = static_cast<int>(m_engines.size());
        lane.engines = all - placement::shortLaneSize(m_speed, outlook(), all);
        for (std::size_t i = 0; i < m_engines.size(); ++i)
            lane.backlogMs += placement::readingBacklog(m_ledger, i + 1, now());
        lane.demand = placement::currentRate(m_longReading, now()) / (1'000.0 * lane.engines);
        lane.waitingMs = placement::readingAhead(
            m_ledger, turn, placement::partReadingTime(m_speed, demand.promptTokens, 1));
        return placement::isWorthTaking(m_speed, lane, demand);
    }

    void offer(std::size_t index, std::uint64_t work)
    {
        Served &served = m_served[index];
        const placement::Demand demand = demandOf(served);
        if (m_policy == Policy::LeastInHand) {
            enter(index, { leastInHand() }, 1, ++m_lastWork);
            return;
        }
        const bool isShort = placement::isShort(m_speed, served.promptTokens);
        const double reading = placement::partReadingTime(m_speed, served.promptTokens, 1);
        const Milliseconds turn = placement::turnOf(now() - demand.waited, reading);
        if (isShort)
            placement::noteArrival(m_shortDemand, 1, now());
        if (!isShort && work == 0 && !isTaken(demand, turn)) {
            served.isRefused = true;
            return;
        }
        if (!isShort && !placement::isFirstInLine(m_ledger, work, turn, reading)) {
            wait(index, work, reading, turn);
            return;
        }
        std::vector<placement::Candidate> candidates(m_engines.size());
        for (std::size_t i = 0; i < candidates.size(); ++i)
            candidates[i].key = i + 1;
        const std::optional<placement::Plan> plan =
            placement::planPlacement(m_ledger, m_speed, candidates, demand, outlook(), now());
        if (plan && plan->startMs <= 25) {
            m_memory = plan->memory;
            enter(index, plan->engines, plan->engines.size(), work != 0 ? work : ++m_lastWork);
        } else if (!isShort
                   && m_now - served.arrivedAt < 2 * m_kinds[served.kind].latencyTargetMs) {
            wait(index, work, reading, turn);
        } else {
            served.isRefused = true;
            placement::removeWork(m_ledger, work, now());
        }
    }

    void wait(std::size_t index, std::uint64_t work, double reading, Milliseconds turn)
    {
        const std::uint64_t id = work != 0 ? work : ++m_lastWork;
        placement::addWaiting(m_ledger,
                              { id, "here", reading, turn, now() + Milliseconds(15'000) });
        m_waiting[id] = index;
    }

    void askAgain()
    {
        const std::map<std::uint64_t, std::size_t> waiting = std::move(m_waiting);
        m_waiting.clear();
        for (const auto &[id, index] : waiting)
            offer(index, id);
    }

    placement::EngineKey leastInHand() const
    {
        const auto least = std::min_element(
            m_engines.begin(), m_engines.end(), [](const Engine &a, const Engine &b) {
                return a.readings.size() + a.writers.size() < b.readings.size() + b.writers.size();
            });
        return static_cast<placement::EngineKey>(least - m_engines.begin()) + 1;
    }

    void enter(std::size_t index, const std::vector<placement::EngineKey> &engines,
               std::size_t parts, std::uint64_t id)
    {
        const Served &served = m_served[index];
        const double partMs =
            placement::partReadingTime(m_speed, served.promptTokens, static_cast<int>(parts));
        const double tokens = static_cast<double>(served.promptTokens) / static_cast<double>(parts);
        for (const placement::EngineKey key : engines)
            m_engines[key - 1].readings.push_back({ id, tokens, partMs / tokens, parts > 1 });
        m_jobs[id] = { index, engines.front() - 1, parts, 0 };
        placement::Work work;
        work.id = id;
        work.owner = "here";
        work.engines = engines;
        work.memory = m_memory;
        work.promptTokens = served.promptTokens;
        work.partMs = partMs;
        work.weight = placement::weightOf(m_speed, served.promptTokens);
        work.isShort = placement::isShort(m_speed, served.promptTokens);
        const placement::Demand demand = demandOf(served);
        work.latencyTarget = demand.latencyTarget;
        work.dueAt = now() - demand.waited + demand.latencyTarget;
        work.pauseTarget = demand.pauseTarget;
        work.placedAt = now();
        work.expiresAt = now() + Milliseconds(60'000);
        if (!work.isShort) {
            placement::noteArrival(m_longReading, partMs * static_cast<double>(engines.size()),
                                   now());
        }
        placement::addWork(m_ledger, std::move(work));
    }

    // The part that came last; without parts the whole prompt that came first.
    static Reading *nextReading(Engine &engine)
    {
        Reading *next = nullptr;
        for (Reading &reading : engine.readings) {
            if (next == nullptr || reading.isPart)
                next = &reading;
        }
        return next;
    }

    void advance(std::size_t index)
    {
        Engine &engine = m_engines[index];
        while (engine.busyUntil <= m_now && (!engine.readings.empty() || !engine.writers.empty())) {
            const double start = std::max(engine.busyUntil, m_now - tickMs);
            engine.busyUntil = start + runStep(engine);
            if (engine.writers.empty())
                engine.step = 0;
            else if (++engine.step >= m_speed.stepsPerPass)
                endPass(engine);
        }
    }

    double runStep(Engine &engine)
    {
        double time = m_speed.stepMs;
        for (const Writer &writer : engine.writers)
            time += m_speed.stepPerWriterMs + writer.context / 1'000 * m_speed.stepPerContextMs;
        Reading *reading = nextReading(engine);
        if (reading == nullptr)
            return time;
        const double tokens = std::min<double>(reading->leftTokens, m_speed.chunkTokens);
        time += tokens * reading->msPerToken;
        reading->leftTokens -= tokens;
        if (reading->leftTokens < 0.5) {
            const std::uint64_t work = reading->work;
            engine.readings.erase(engine.readings.begin() + (reading - engine.readings.data()));
            endPart(work);
        }
        return time;
    }

    void endPart(std::uint64_t id)
    {
        Job &job = m_jobs.at(id);
        if (--job.partsLeft > 0)
            return;
        const Served &served = m_served[job.served];
        m_engines[job.first].writers.push_back(
            { id, m_kinds[served.kind].events, static_cast<double>(served.promptTokens), false });
    }

    void endPass(Engine &engine)
    {
        engine.step = 0;
        for (std::size_t i = 0; i < engine.writers.size();) {
            Writer &writer = engine.writers[i];
            if (!writer.isInPass) {
                writer.isInPass = true; // its first whole pass begins
                ++i;
                continue;
            }
            sendEvent(writer, engine.busyUntil);
            if (--writer.eventsLeft > 0) {
                ++i;
                continue;
            }
            m_served[m_jobs.at(writer.work).served].isComplete = true;
            placement::noteServed(m_shortDemand, Milliseconds(2'000));
            placement::removeWork(m_ledger, writer.work, now());
            engine.writers.erase(engine.writers.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    void sendEvent(const Writer &writer, double at)
    {
        Job &job = m_jobs.at(writer.work);
        Served &served = m_served[job.served];
        if (served.firstEventMs < 0) {
            served.firstEventMs = at - served.arrivedAt;
            placement::noteWriting(m_ledger, writer.work, now());
        } else {
            served.longestPauseMs = std::max(served.longestPauseMs, at - job.lastEventAt);
        }
        job.lastEventAt = at;
    }

    fleet::EngineSpeed m_speed;
    std::vector<Kind> m_kinds;
    Policy m_policy;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::vector<Served> m_served;
    std::map<std::uint64_t, Job> m_jobs;
    std::map<std::uint64_t, std::size_t> m_waiting;
    std::vector<TokenCount> m_memory;
    placement::Ledger m_ledger;
    placement::DemandRate m_shortDemand;
    placement::DemandRate m_longReading { Milliseconds(4'000), 0, 2, Milliseconds() };
    std::uint64_t m_lastWork = 0;
    double m_now = 0;
};

} // namespace

std::vector<Served> play(const fleet::EngineSpeed &speed, int engines,
                         const std::vector<Kind> &kinds, const Rates &rates, double lengthMs,
                         Policy policy, std::uint64_t seed)
{
    return Play(speed, engines, kinds, policy, seed).run(rates, lengthMs);
}

double shareInTime(const std::vector<Served> &served, const std::vector<Kind> &kinds,
                   std::size_t kind, double fromMs, double toMs)
{
    int all = 0;
    int inTime = 0;
    for (const Served &one : served) {
        if (one.kind != kind || one.arrivedAt < fromMs || one.arrivedAt >= toMs)
            continue;
        ++all;
        const bool isInTime = one.isComplete && one.firstEventMs <= kinds[kind].latencyTargetMs
                              && one.longestPauseMs <= kinds[kind].pauseTargetMs;
        inTime += isInTime ? 1 : 0;
    }
    return all == 0 ? 1 : static_cast<double>(inTime) / all;
}

double shareServed(const std::vector<Served> &served, std::size_t kind, double fromMs, double toMs,
                   TokenCount least)
{
    int all = 0;
    int complete = 0;
    for (const Served &one : served) {
        if (one.kind != kind || one.arrivedAt < fromMs || one.arrivedAt >= toMs
            || one.promptTokens < least)
            continue;
        ++all;
        complete += one.isComplete ? 1 : 0;
    }
    return all == 0 ? 1 : static_cast<double>(complete) / all;
}

fleet::EngineSpeed usualSpeed()
{
    fleet::EngineSpeed speed;
    speed.slots = 16;
    speed.memoryTokens = 405'000;
    speed.stepMs = 1.31;
    speed.stepPerWriterMs = 0.000917;
    speed.stepPerContextMs = 0.00213;
    speed.readTokensPerMs = 154;
    speed.readPairsMs = 0.162;
    speed.chunkTokens = 2'048;
    speed.stepsPerPass = 34;
    speed.usualPrompt = 11'000;
    speed.usualAnswer = 1'270;
    return speed;
}

std::vector<Kind> usualKinds()
{
    return { { 5'000, 0.7, 38, 300, 250 },
             { 45'000, 0.45, 23, 1'500, 600 },
             { 180'000, 0.5, 19, 3'000, 1'000 } };
}

} // namespace egretmount::model
