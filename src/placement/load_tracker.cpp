#include <egretmount/placement/load_tracker.h>

#include <algorithm>
#include <cmath>

namespace egretmount::placement {

namespace {

constexpr double greatestPace = 12; // an engine slower than this gets nothing anyway

Milliseconds rounded(double milliseconds)
{
    return Milliseconds(std::llround(milliseconds));
}

bool hasWriters(const Ledger &ledger, const EngineState &engine, EngineKey key)
{
    return std::any_of(engine.works.begin(), engine.works.end(), [&](std::uint64_t id) {
        const Work &work = ledger.works.at(id);
        return work.isWriting && work.engines.front() == key;
    });
}

// When an engine is expected to have read its part of `last`, or all its parts if there is no such.
Milliseconds readTime(const Ledger &ledger, const EngineState &engine, EngineKey key,
                      std::uint64_t last, Milliseconds now)
{
    const double slowdown = engine.pace * (hasWriters(ledger, engine, key) ? writingSlowdown : 1);
    Milliseconds time = engine.lastReadAt;
    for (const std::uint64_t id : engine.works) {
        const Work &work = ledger.works.at(id);
        if (!work.isWriting) {
            time = std::max(time, work.placedAt + transitTime) + rounded(work.partMs * slowdown);
            // The only part of a work that does not write yet cannot have been read.
            if (work.engines.size() == 1)
                time = std::max(time, now);
        }
        if (id == last)
            break;
    }
    return time;
}

} // namespace

Milliseconds turnOf(Milliseconds arrivedAt, double readingMs)
{
    return arrivedAt + rounded(readingMs * turnDelay);
}

void addWaiting(Ledger &ledger, const WaitingWork &waiting)
{
    if (ledger.works.count(waiting.id) == 0)
        ledger.waiting[waiting.id] = waiting;
}

bool isFirstInLine(const Ledger &ledger, std::uint64_t id, Milliseconds turn, double readingMs)
{
    return std::none_of(ledger.waiting.begin(), ledger.waiting.end(), [&](const auto &entry) {
        const WaitingWork &other = entry.second;
        return other.id != id && other.readingMs < passingFactor * readingMs
               && (other.turn < turn || (other.turn == turn && other.id < id));
    });
}

double readingAhead(const Ledger &ledger, Milliseconds turn, double readingMs)
{
    double sum = 0;
    for (const auto &[id, waiting] : ledger.waiting) {
        const bool goesBefore =
            waiting.turn < turn && waiting.readingMs < passingFactor * readingMs;
        sum += goesBefore ? waiting.readingMs : 0;
    }
    return sum;
}

void addWork(Ledger &ledger, Work work)
{
    ledger.waiting.erase(work.id);
    if (ledger.works.count(work.id) > 0)
        return;
    for (const EngineKey key : work.engines)
        ledger.engines[key].works.push_back(work.id);
    ledger.works.emplace(work.id, std::move(work));
}

void noteWriting(Ledger &ledger, std::uint64_t id, Milliseconds now)
{
    const auto found = ledger.works.find(id);
    if (found == ledger.works.end() || found->second.isWriting)
        return;
    Work &work = found->second;
    for (const EngineKey key : work.engines) {
        EngineState &engine = ledger.engines[key];
        engine.lastReadAt =
            std::max(engine.lastReadAt, std::min(now, readTime(ledger, engine, key, id, now)));
    }
    work.isWriting = true;
}

void noteReport(Ledger &ledger, EngineKey engine, int inHand, Milliseconds now)
{
    EngineState &state = ledger.engines[engine];
    state.unknown = std::max(0, inHand - static_cast<int>(state.works.size()));
    state.reportedAt = now;
}

int unknownRequests(const EngineState &engine, Milliseconds now)
{
    return now - engine.reportedAt < reportLife ? engine.unknown : 0;
}

void notePace(Ledger &ledger, std::uint64_t id, double expectedMs, double takenMs)
{
    const auto found = ledger.works.find(id);
    if (found == ledger.works.end() || found->second.engines.size() > 1 || expectedMs < 1)
        return;
    EngineState &engine = ledger.engines[found->second.engines.front()];
    const double measured = std::clamp(takenMs / expectedMs * engine.pace, 1.0, greatestPace);
    engine.pace += (measured - engine.pace) * paceSmoothing;
}

void removeWork(Ledger &ledger, std::uint64_t id, Milliseconds now)
{
    ledger.waiting.erase(id);
    const auto found = ledger.works.find(id);
    if (found == ledger.works.end())
        return;
    for (const EngineKey key : found->second.engines) {
        EngineState &engine = ledger.engines[key];
        // A part that was under way has taken its engine's time until now.
        if (!found->second.isWriting) {
            engine.lastReadAt =
                std::max(engine.lastReadAt, std::min(now, readTime(ledger, engine, key, id, now)));
        }
        engine.works.erase(std::remove(engine.works.begin(), engine.works.end(), id),
                           engine.works.end());
    }
    ledger.works.erase(found);
}

void removeWorksOf(Ledger &ledger, const std::string &owner, Milliseconds now)
{
    keepStated(ledger, owner, {}, now);
}

void keepStated(Ledger &ledger, const std::string &owner, const std::vector<std::uint64_t> &stated,
                Milliseconds now)
{
    std::vector<std::uint64_t> gone;
    for (const auto &[id, waiting] : ledger.waiting) {
        if (waiting.owner == owner && !std::binary_search(stated.begin(), stated.end(), id))
            gone.push_back(id);
    }
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
    for (const auto &[id, waiting] : ledger.waiting) {
        if (waiting.expiresAt <= now)
            gone.push_back(id);
    }
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
    if (found == ledger.engines.end())
        return 0;
    const Milliseconds free = readTime(ledger, found->second, engine, 0, now);
    return std::max(0.0, static_cast<double>((free - now).count()));
}

} // namespace egretmount::placement
