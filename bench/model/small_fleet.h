#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <vector>

#include <egretmount/routing/dispatcher.h>

namespace egretmount::tests {

/// @brief Sizes and rates of a modelled target. The default rates are those of the simulated
///        engine.
struct TargetRates
{
    TokenCount memoryTokens = 400'000;
    std::int64_t slots = 64;
    double prefillTokensPerMs = 400;
    double decodeTokensPerMs = 20;
    double streamTokensPerMs = 0.2; ///< Maximum decode rate of one stream.
};

/// @brief One request of a workload and its outcome.
struct Arrival
{
    Request request;
    double weight = 1;
    TokenCount outputTokens = 0;
    bool isRefused = false;
    Milliseconds refusedAt;
    Milliseconds retryAfter;
    bool hasFirstToken = false;
    Milliseconds firstTokenAt;
    bool isDone = false;
    Milliseconds doneAt;

    Milliseconds timeToFirstToken() const { return firstTokenAt - request.arrival; }
    bool isOnTime() const { return isDone && doneAt <= request.deadline; }
    bool isLong() const { return routing::isLongClass(lengthClassOf(request.promptTokens)); }
};

/// @brief Models one dispatcher and a few targets, in steps of 1 ms. The targets use continuous
///        batching like the simulated engine.
class SmallFleet
{
public:
    routing::DispatchState state;
    std::function<void(SmallFleet &, Milliseconds)> onStep;

    SmallFleet(routing::LanePolicy policy, std::size_t targets, TargetRates rates = {})
        : m_rates(rates)
        , m_batches(targets)
    {
        state.policy = policy;
        state.ownZone = ZoneId("a");
        views.resize(targets);
        for (std::size_t i = 0; i < targets; ++i) {
            views[i].id = TargetId("engine-" + std::to_string(i));
            views[i].service = ServiceId("llm");
            views[i].zone = ZoneId(std::string(1, static_cast<char>('a' + i % 3)));
            views[i].capacity = { rates.memoryTokens, rates.slots };
            views[i].spendable = views[i].capacity;
        }
        routing::setTargets(state, views, Milliseconds());
    }

    /// The targets as the fleet document describes them. Changes take effect with `publish`.
    std::vector<routing::TargetView> views;

    /// @brief Passes the changed `views` to the dispatcher.
    void publish(Milliseconds now) { applyDecisions(routing::setTargets(state, views, now), now); }

    /// @brief Returns the number of streams at a target, queued ones included.
    std::size_t streamsAt(std::size_t target) const { return m_batches[target].streams.size(); }

    /// @brief Simulates a workload until `end`.
    /// @param arrivals Requests sorted by arrival time. Their outcomes are filled in.
    void run(std::vector<Arrival> &arrivals, Milliseconds end)
    {
        m_arrivals = &arrivals;
        std::size_t next = 0;
        for (Milliseconds now; now < end; now += Milliseconds(1)) {
            if (onStep)
                onStep(*this, now);
            for (; next < arrivals.size() && arrivals[next].request.arrival <= now; ++next) {
                const Request &request = arrivals[next].request;
                applyDecisions(routing::submit(state, request, arrivals[next].weight, now), now);
            }
            for (std::size_t i = 0; i < m_batches.size(); ++i)
                step(i, now);
            if (now.count() % 10 == 0)
                applyDecisions(routing::tick(state, now), now);
        }
    }

private:
    struct Stream
    {
        std::size_t arrival = 0;
        int priority = 0;
        bool isAdmitted = false;
        double prefilled = 0;
        double generated = 0;
    };

    struct Batch
    {
        std::list<Stream> streams; // ordered by priority, then arrival
        TokenCount usedTokens = 0;
        std::int64_t usedSlots = 0;
        std::deque<TokenCount> waiting; // prompt tokens per step, to report them with a lag
    };

    Arrival &arrivalOf(const Stream &stream) { return (*m_arrivals)[stream.arrival]; }
    static std::size_t indexOf(const RequestId &id) { return std::stoul(id.value); }

    void applyDecisions(const routing::Decisions &decisions, Milliseconds now)
    {
        for (const routing::Refused &refused : decisions.refused) {
            Arrival &arrival = (*m_arrivals)[indexOf(refused.request)];
            arrival.isRefused = true;
            arrival.refusedAt = now;
            arrival.retryAfter = refused.error.retryAfter;
        }
        for (const routing::Assigned &assigned : decisions.assigned) {
            std::list<Stream> &streams = m_batches[state.indexes.at(assigned.target)].streams;
            const auto position =
                std::find_if(streams.begin(), streams.end(),
                             [&](const Stream &s) { return s.priority < assigned.enginePriority; });
            Stream stream;
            stream.arrival = indexOf(assigned.request);
            stream.priority = assigned.enginePriority;
            streams.insert(position, stream);
        }
    }

    void admit(Batch &batch)
    {
        for (Stream &stream : batch.streams) {
            if (stream.isAdmitted)
                continue;
            const TokenCount needed = arrivalOf(stream).request.memoryTokens();
            if (batch.usedTokens + needed > m_rates.memoryTokens
                || batch.usedSlots >= m_rates.slots)
                return;
            stream.isAdmitted = true;
            batch.usedTokens += needed;
            ++batch.usedSlots;
        }
    }

    double remainingPrefill(const Stream &stream)
    {
        return static_cast<double>(arrivalOf(stream).request.promptTokens) - stream.prefilled;
    }

    void step(std::size_t index, Milliseconds now)
    {
        Batch &batch = m_batches[index];
        admit(batch);
        double decoding = 0;
        double waiting = 0;
        for (const Stream &stream : batch.streams) {
            decoding += stream.isAdmitted && remainingPrefill(stream) <= 0 ? 1 : 0;
            waiting += std::max(0.0, remainingPrefill(stream));
        }
        const double total =
            waiting > 0 ? m_rates.decodeTokensPerMs / 2 : m_rates.decodeTokensPerMs;
        const double perStream =
            decoding > 0 ? std::min(m_rates.streamTokensPerMs, total / decoding) : 0;
        double budget = m_rates.prefillTokensPerMs
                        * std::max(0.5, 1 - perStream * decoding / m_rates.decodeTokensPerMs);
        std::vector<std::size_t> firstTokenArrivals;
        std::vector<std::size_t> ended;
        for (auto stream = batch.streams.begin(); stream != batch.streams.end();) {
            Arrival &arrival = arrivalOf(*stream);
            if (stream->isAdmitted && remainingPrefill(*stream) <= 0) {
                stream->generated += perStream;
                if (!arrival.hasFirstToken && stream->generated >= 1)
                    firstTokenArrivals.push_back(stream->arrival);
            } else if (stream->isAdmitted) {
                const double done = std::min(budget, remainingPrefill(*stream));
                budget -= done;
                stream->prefilled += done;
            }
            const bool isOver = stream->generated >= static_cast<double>(arrival.outputTokens)
                                || now > arrival.request.deadline;
            if (!isOver) {
                ++stream;
                continue;
            }
            arrival.isDone = now <= arrival.request.deadline;
            arrival.doneAt = now;
            ended.push_back(stream->arrival);
            batch.usedTokens -= stream->isAdmitted ? arrival.request.memoryTokens() : 0;
            batch.usedSlots -= stream->isAdmitted ? 1 : 0;
            stream = batch.streams.erase(stream);
        }
        report(index, static_cast<TokenCount>(waiting), now);
        for (std::size_t first : firstTokenArrivals) {
            (*m_arrivals)[first].hasFirstToken = true;
            (*m_arrivals)[first].firstTokenAt = now;
            const RequestId &id = (*m_arrivals)[first].request.id;
            applyDecisions(routing::onFirstToken(state, id, now), now);
        }
        for (std::size_t end : ended)
            finish((*m_arrivals)[end], now);
    }

    void finish(const Arrival &arrival, Milliseconds now)
    {
        const routing::Outcome outcome =
            arrival.isDone ? routing::Outcome::Completed : routing::Outcome::Cancelled;
        applyDecisions(
            routing::finish(state, arrival.request.id, outcome, arrival.outputTokens, now), now);
    }

    void report(std::size_t index, TokenCount waiting, Milliseconds now)
    {
        constexpr std::size_t lagSteps = 200;
        Batch &batch = m_batches[index];
        batch.waiting.push_back(waiting);
        if (batch.waiting.size() <= lagSteps)
            return;
        routing::LoadReport load;
        load.waitingPromptTokens = batch.waiting.front();
        batch.waiting.pop_front();
        if (now.count() % 20 == 0)
            applyDecisions(routing::applyReport(state, views[index].id, load, now), now);
    }

    TargetRates m_rates;
    std::vector<Batch> m_batches;
    std::vector<Arrival> *m_arrivals = nullptr;
};

/// @brief A workload with Poisson arrivals. One prompt in 50 has 100,000 to 200,000 tokens.
struct Workload
{
    double requestsPerSecond = 200;
    Milliseconds duration = Milliseconds(10'000);
    bool hasLongPrompts = true;
    Milliseconds shortDeadline = Milliseconds(2'000);
    Milliseconds longDeadline = Milliseconds(20'000);
    std::uint64_t seed = 1;
};

/// @brief Generates the arrivals of a workload. With the same seed, a workload without long prompts
///        has the same short prompts at the same times as one with long prompts.
inline std::vector<Arrival> makeArrivals(const Workload &workload)
{
    Random random(workload.seed);
    std::vector<Arrival> arrivals;
    const double end = static_cast<double>(workload.duration.count());
    int count = 0;
    for (double at = 0; at < end; ++count) {
        at -= std::log(1 - random.fraction()) * 1000 / workload.requestsPerSecond;
        const bool isLong = random.below(50) == 0;
        const TokenCount longTokens = 100'000 + static_cast<TokenCount>(random.below(100'000));
        const TokenCount shortTokens = 200 + static_cast<TokenCount>(random.below(2'400));
        if (isLong && !workload.hasLongPrompts)
            continue;
        Arrival arrival;
        arrival.outputTokens = 10 + static_cast<TokenCount>(random.below(30));
        arrival.request.maxTokens = 48;
        arrival.request.promptTokens = isLong ? longTokens : shortTokens;
        arrival.request.id = RequestId(std::to_string(arrivals.size()));
        arrival.request.team = TeamId("team-" + std::to_string(count % 10));
        arrival.request.service = ServiceId("llm");
        arrival.request.arrival = Milliseconds(static_cast<std::int64_t>(at));
        arrival.request.deadline =
            arrival.request.arrival + (isLong ? workload.longDeadline : workload.shortDeadline);
        arrivals.push_back(arrival);
    }
    return arrivals;
}

/// @brief Computes a quantile of the time to first token, in milliseconds.
/// @param selects Returns whether an arrival counts.
inline std::int64_t timeToFirstTokenQuantile(const std::vector<Arrival> &arrivals, double quantile,
                                             const std::function<bool(const Arrival &)> &selects)
{
    std::vector<std::int64_t> times;
    for (const Arrival &arrival : arrivals) {
        if (arrival.hasFirstToken && selects(arrival))
            times.push_back(arrival.timeToFirstToken().count());
    }
    if (times.empty())
        return 0;
    const auto position =
        times.begin()
        + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), position, times.end());
    return *position;
}

} // namespace egretmount::tests
