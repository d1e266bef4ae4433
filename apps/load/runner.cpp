#include "runner.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <thread>

#include <egretmount/core/names.h>

#include "caller.h"
#include "locator.h"
#include "prompt_text.h"
#include "worker_pool.h"

namespace egretmount::load {

using namespace literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t locatorCount = 16; // simulated clients with a discovery cache of their own
constexpr int maxConnectAttempts = 3;
constexpr std::int64_t microsPerMilli = 1000;
constexpr std::int64_t millisPerSecond = 1000;

std::int64_t microsSince(Clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start).count();
}

// Adds an offset to a duration; keeps a negative one, which means that the event did not occur.
std::int64_t addOffset(std::int64_t micros, std::int64_t offset)
{
    return micros < 0 ? micros : micros + offset;
}

TokenCount longestPrompt(const Workload &workload)
{
    TokenCount longest = 0;
    for (const LengthShare &length : workload.lengths)
        longest = std::max(longest, length.highTokens);
    return longest;
}

/// @brief The state of one run.
class Run
{
public:
    Run(const Experiment &experiment, const ProcessIds &processes)
        : m_experiment(experiment)
        , m_processes(processes)
        , m_text(experiment.documents, longestPrompt(experiment.workload))
        , m_arrivals(makeArrivals(experiment.workload))
        , m_samples(m_arrivals.size())
        , m_isSent(m_arrivals.size())
    {
        fetchLocate(experiment.entryAddresses.front());
        for (std::size_t i = 0; i < locatorCount; ++i)
            m_locators.push_back(
                std::make_unique<Locator>(experiment.entryAddresses, experiment.workload.seed + i));
    }

    RunRecord execute()
    {
        m_start = Clock::now();
        std::thread faultThread([this] { injectFaults(); });
        {
            WorkerPool pool(static_cast<std::size_t>(m_experiment.maxInFlight));
            for (std::size_t i = 0; i < m_arrivals.size(); ++i)
                startWhenDue(pool, i);
        }
        faultThread.join();
        if (m_hasFaultFailed)
            throw std::runtime_error(
                "a fault could not be injected; the results of this run are not valid");
        return makeRecord();
    }

private:
    Clock::time_point dueTime(Milliseconds at) const
    {
        return m_start + std::chrono::milliseconds(at.count());
    }

    bool isExcluded(const Arrival &arrival) const
    {
        const std::vector<std::string> &without = m_experiment.without;
        const std::string &name = m_experiment.workload.lengths[arrival.length].name;
        return std::find(without.begin(), without.end(), name) != without.end();
    }

    void startWhenDue(WorkerPool &pool, std::size_t index)
    {
        if (isExcluded(m_arrivals[index]))
            return;
        std::this_thread::sleep_until(dueTime(m_arrivals[index].at));
        m_isSent[index] = pool.tryStart([this, index] { executeRequest(index); }) ? 1 : 0;
        m_unsent += m_isSent[index] ? 0 : 1;
    }

    void executeRequest(std::size_t index)
    {
        const Arrival &arrival = m_arrivals[index];
        const bool isDirect = !m_experiment.directAddresses.empty() && index % 2 == 1;
        Sample &sample = m_samples[index];
        const LengthShare &length = m_experiment.workload.lengths[arrival.length];
        const TeamShare &team = m_experiment.workload.teams[arrival.team];
        sample.at = arrival.at;
        sample.length = length.name;
        sample.team = team.name;
        sample.path = isDirect ? "direct" : "entry";
        sample.promptTokens = arrival.promptTokens;
        sample.deadlineMillis = length.deadline.count();
        sample.sentLateMicros = microsSince(dueTime(arrival.at));

        CallerRequest request;
        request.token = team.token;
        request.id = RequestId("load-" + std::to_string(arrival.promptSeed));
        request.model = m_experiment.service;
        request.prompt = "Case " + std::to_string(arrival.promptSeed) + ". ";
        request.sharedPrompt = m_text.prefix(arrival.promptTokens);
        request.maxTokens = length.outputTokens;
        sendWithRetries(request, index, sample);
    }

    // Retries with another address if the connection fails. This is safe because nothing was sent.
    void sendWithRetries(CallerRequest &request, std::size_t index, Sample &sample)
    {
        const Clock::time_point start = Clock::now();
        for (int attempt = 1; attempt <= maxConnectAttempts; ++attempt) {
            const std::int64_t offset = microsSince(start);
            request.deadline = Milliseconds(
                std::max<std::int64_t>(1, sample.deadlineMillis - offset / microsPerMilli));
            request.address = nextAddress(sample.path, index);
            const CallerResult result = complete(request);
            recordResult(result, offset, sample);
            if (result.isConnected)
                return;
        }
    }

    std::string nextAddress(const std::string &path, std::size_t index)
    {
        const std::vector<std::string> &direct = m_experiment.directAddresses;
        return path == "direct" ? direct[index / 2 % direct.size()]
                                : m_locators[index % locatorCount]->next();
    }

    static void recordResult(const CallerResult &result, std::int64_t offset, Sample &sample)
    {
        sample.status = result.status;
        sample.target = result.target;
        sample.verdict = result.verdict;
        sample.error = result.error;
        sample.retryAfterMillis = result.retryAfterMs;
        sample.firstTokenMicros = addOffset(result.firstTokenMicros, offset);
        sample.totalMicros = addOffset(result.totalMicros, offset);
        sample.longestGapMicros = result.longestGapMicros;
        sample.outputTokens = static_cast<std::int64_t>(result.tokens.size());
        sample.isComplete = result.isComplete;
    }

    void injectFaults()
    {
        for (const Fault &fault : m_experiment.faults) {
            std::this_thread::sleep_until(dueTime(fault.at));
            try {
                injectFault(fault, m_experiment.platformAddress, m_processes);
            } catch (const std::exception &error) {
                std::cerr << "egretmount-load: fault " << fault.name << ": " << error.what()
                          << std::endl;
                m_hasFaultFailed = true;
            }
        }
    }

    RunRecord makeRecord()
    {
        RunRecord record;
        record.label = m_experiment.label;
        record.without = m_experiment.without;
        record.seed = m_experiment.workload.seed;
        record.arrivalsDigest = digestOf(m_arrivals);
        record.requestsPerSecond = m_experiment.workload.requestsPerSecond;
        record.seconds = m_experiment.workload.duration.count() / millisPerSecond;
        record.unsent = m_unsent;
        for (const Fault &fault : m_experiment.faults)
            record.faults.push_back({ fault.name, fault.at });
        for (std::size_t i = 0; i < m_samples.size(); ++i) {
            if (m_isSent[i])
                record.samples.push_back(std::move(m_samples[i]));
        }
        return record;
    }

    const Experiment &m_experiment;
    const ProcessIds &m_processes;
    PromptText m_text;
    std::vector<Arrival> m_arrivals;
    std::vector<Sample> m_samples; // by arrival; each written by the thread that sends it
    std::vector<char> m_isSent; // by arrival
    std::size_t m_unsent = 0;
    std::vector<std::unique_ptr<Locator>> m_locators;
    bool m_hasFaultFailed = false; // written by the fault thread, read after it has been joined
    Clock::time_point m_start;
};

} // namespace

RunRecord runExperiment(const Experiment &experiment, const ProcessIds &processes)
{
    return Run(experiment, processes).execute();
}

} // namespace egretmount::load
