#include <egretmount/placement/ledger.h>

#include <algorithm>
#include <cmath>

namespace egretmount::placement {

namespace {

constexpr double leastPace = 0.5; // a measurement below this says more of the estimate than of the engine
constexpr double greatestPace = 12; // an engine slower than this gets nothing anyway

Milliseconds rounded(double milliseconds)
{
    return Milliseconds(std::llround(milliseconds));
}

void measurePace(EngineState &engine, const Work &work, Milliseconds now)
{
    const double expected = static_cast<double>((work.readBy.front() - work.placedAt).count());
    const double taken = static_cast<double>((now - work.placedAt).count());
    if (expected < 1)
        return;
    const double measured = std::clamp(taken / expected * engine.pace, leastPace, greatestPace);
    engine.pace += (measured - engine.pace) * paceSmoothing;
    engine.pace = std::max(engine.pace, 1.0);
}

void finishReading(EngineState &engine, Milliseconds expected, bool isExact, Milliseconds now)
{
    engine.reading = std::max(0, engine.reading - 1);
    if (engine.reading == 0)
        engine.readFreeAt = std::min(engine.readFreeAt, now);
    else if (now < expected || isExact)
        engine.readFreeAt = std::max(now, engine.readFreeAt + (now - expected));
}

} // namespace

void addWork(Ledger &ledger, Work work, Milliseconds now)
{
    if (ledger.works.count(work.id) > 0)
        return;
    work.readBy.clear();
    for (const EngineKey key : work.engines) {
        EngineState &engine = ledger.engines[key];
        const Milliseconds start = std::max(engine.readFreeAt, work.placedAt + transitTime);
        const Milliseconds end = start + rounded(work.partMs * engine.pace);
        work.readBy.push_back(end);
        engine.works.push_back(work.id);
        if (!work.isWriting) {
            ++engine.reading;
            engine.readFreeAt = std::max(end, now);
        }
    }
    ledger.works.emplace(work.id, std::move(work));
}

void noteWriting(Ledger &ledger, std::uint64_t id, bool isOwn, Milliseconds now)
{
    const auto found = ledger.works.find(id);
    if (found == ledger.works.end() || found->second.isWriting)
        return;
    Work &work = found->second;
    work.isWriting = true;
    for (std::size_t i = 0; i < work.engines.size(); ++i) {
        EngineState &engine = ledger.engines[work.engines[i]];
        if (i == 0 && isOwn && work.engines.size() == 1)
            measurePace(engine, work, now);
        finishReading(engine, work.readBy[i], i == 0, now);
    }
}

void removeWork(Ledger &ledger, std::uint64_t id, Milliseconds now)
{
    const auto found = ledger.works.find(id);
    if (found == ledger.works.end())
        return;
    const Work work = std::move(found->second);
    ledger.works.erase(found);
    for (std::size_t i = 0; i < work.engines.size(); ++i) {
        EngineState &engine = ledger.engines[work.engines[i]];
        engine.works.erase(std::remove(engine.works.begin(), engine.works.end(), id),
                           engine.works.end());
        if (work.isWriting)
            continue;
        engine.reading = std::max(0, engine.reading - 1);
        const Milliseconds left = std::min(rounded(work.partMs * engine.pace),
                                           std::max(work.readBy[i] - now, Milliseconds()));
        engine.readFreeAt = engine.reading == 0 ? std::min(engine.readFreeAt, now)
                                                : std::max(now, engine.readFreeAt - left);
    }
}

void removeWorksOf(Ledger &ledger, const std::string &owner, Milliseconds now)
{
    keepStated(ledger, owner, {}, now);
}

void keepStated(Ledger &ledger, const std::string &owner, const std::vector<std::uint64_t> &stated,
                Milliseconds now)
{
    std::vector<std::uint64_t> gone;
    for (const auto &[id, work] : ledger.works) {
        if (work.owner == owner && !std::binary_search(stated.begin(), stated.end(), id))
            gone.push_back(id);
    }
    for (const std::uint64_t id : gone)
        removeWork(ledger, id, now);
}

void removeExpired(Ledger &ledger, Milliseconds now)
{
    std::vector<std::uint64_t> gone;
    for (const auto &[id, work] : ledger.works) {
        if (work.expiresAt <= now)
            gone.push_back(id);
    }
    for (const std::uint64_t id : gone)
        removeWork(ledger, id, now);
}

double readingBacklog(const Ledger &ledger, EngineKey engine, Milliseconds now)
{
    const auto found = ledger.engines.find(engine);
    if (found == ledger.engines.end() || found->second.reading == 0)
        return 0;
    return std::max(0.0, static_cast<double>((found->second.readFreeAt - now).count()));
}

} // namespace egretmount::placement
