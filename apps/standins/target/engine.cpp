#include "engine.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <random>

#include <egretmount/core/random.h>

namespace egretmount::standins {

using namespace literals;

namespace {

constexpr Milliseconds stepLength = 5_ms;
constexpr double minPrefillShare = 0.5; // share of a step while the batch holds a prompt
constexpr TokenCount bytesPerToken = 4;
constexpr std::size_t maxStoredLoads = 4096;

bool isInBatch(const Stream &stream)
{
    return stream.state == StreamState::Prefilling || stream.state == StreamState::Decoding
           || stream.state == StreamState::Held;
}

TokenCount memoryOf(const StreamRequest &request)
{
    return request.promptTokens + request.maxTokens;
}

} // namespace

Engine::Engine(const EngineSettings &settings)
    : m_settings(settings)
    , m_bootId((static_cast<std::uint64_t>(std::random_device()()) << 20U) | 1U)
    , m_thread([this] { run(); })
{ }

Engine::~Engine()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_thread.join();
}

std::shared_ptr<Stream> Engine::open(const StreamRequest &request)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::shared_ptr<Stream> &stream : m_streams) {
        const bool isSame = stream->request.id == request.id
                            && stream->request.promptHash == request.promptHash
                            && stream->request.maxTokens == request.maxTokens;
        if (isSame && !stream->isOver()) {
            ++stream->readers;
            stream->isSuspended = false;
            stream->request.owner = request.owner;
            return stream;
        }
    }
    if (memoryOf(request) > m_settings.memoryTokens)
        return nullptr;
    std::shared_ptr<Stream> stream = std::make_shared<Stream>();
    stream->request = request;
    stream->generated = request.firstToken;
    stream->readers = 1;
    m_streams.push_back(stream);
    return stream;
}

Stream Engine::waitFor(const std::shared_ptr<Stream> &stream, TokenCount seen, Milliseconds timeout)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(timeout.count()), [&stream, seen] {
        return stream->generated > seen || stream->state >= StreamState::Held;
    });
    return *stream;
}

void Engine::detachReader(const std::shared_ptr<Stream> &stream)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --stream->readers;
    stream->lastReaderAt = monotonicNow();
}

bool Engine::touch(const RequestId &id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::shared_ptr<Stream> &stream : m_streams) {
        if (stream->request.id == id && !stream->isOver()) {
            stream->lastReaderAt = monotonicNow();
            return true;
        }
    }
    return false;
}

void Engine::suspend(const std::shared_ptr<Stream> &stream)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    stream->isSuspended = true;
}

void Engine::cancel(const RequestId &id, const std::string &owner)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::shared_ptr<Stream> &stream : m_streams) {
        const bool isOwner = owner.empty() || stream->request.owner == owner;
        if (stream->request.id == id && isOwner && !stream->isOver())
            end(*stream, StreamState::Cancelled);
    }
    m_changed.notify_all();
}

routing::LoadReport Engine::report() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Milliseconds reportTime = monotonicNow() - m_settings.reportLag;
    for (auto load = m_loads.rbegin(); load != m_loads.rend(); ++load) {
        if (load->at <= reportTime)
            return load->load;
    }
    return m_loads.empty() ? loadLocked() : m_loads.front().load;
}

routing::LoadReport Engine::currentLoad() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return loadLocked();
}

EnginePeaks Engine::peaks() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_peaks;
}

std::vector<std::string> Engine::generatedFor(const RequestId &id) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> tokens;
    const auto found = m_generatedRanges.find(id.value);
    if (found == m_generatedRanges.end())
        return tokens;
    for (TokenCount index = found->second.first; index < found->second.end; ++index)
        tokens.push_back(tokenAt(found->second.promptHash, index));
    return tokens;
}

void Engine::resetWarmUp()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_warmUpTokens = 0;
}

void Engine::run()
{
    Milliseconds last = monotonicNow();
    for (;;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(stepLength.count()));
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isStopping)
            return;
        const Milliseconds now = monotonicNow();
        const double seconds = static_cast<double>((now - last).count()) / 1000.0;
        last = now;
        expire(now);
        admit();
        step(seconds);
        recordLoad(now);
        m_changed.notify_all();
    }
}

void Engine::step(double seconds)
{
    const double usable = seconds / slowdown();
    double remainingSeconds = usable;
    decode(usable, remainingSeconds);
    prefill(usable, remainingSeconds);
    const auto isOver = [](const std::shared_ptr<Stream> &stream) { return stream->isOver(); };
    m_streams.erase(std::remove_if(m_streams.begin(), m_streams.end(), isOver), m_streams.end());
}

void Engine::expire(Milliseconds now)
{
    for (const std::shared_ptr<Stream> &stream : m_streams) {
        if (stream->isOver())
            continue;
        const bool isAbandoned =
            stream->readers == 0 && now - stream->lastReaderAt > m_settings.resumeWindow;
        if (now > stream->request.deadline || isAbandoned)
            end(*stream, StreamState::Expired);
    }
}

void Engine::admit()
{
    std::stable_sort(m_streams.begin(), m_streams.end(),
                     [](const std::shared_ptr<Stream> &a, const std::shared_ptr<Stream> &b) {
                         return a->request.priority > b->request.priority;
                     });
    for (const std::shared_ptr<Stream> &stream : m_streams) {
        if (stream->state != StreamState::Waiting)
            continue;
        const TokenCount needed = memoryOf(stream->request);
        if (m_usedTokens + needed > m_settings.memoryTokens || m_usedSlots >= m_settings.slots)
            return;
        stream->state = StreamState::Prefilling;
        m_usedTokens += needed;
        ++m_usedSlots;
        m_peaks.tokens = std::max(m_peaks.tokens, m_usedTokens);
        m_peaks.slots = std::max(m_peaks.slots, m_usedSlots);
        if (!isWarmLocked())
            m_peaks.coldSlots = std::max(m_peaks.coldSlots, m_usedSlots);
    }
}

void Engine::decode(double seconds, double &remainingSeconds)
{
    std::int64_t decoding = 0;
    bool hasPrefill = false;
    for (const std::shared_ptr<Stream> &stream : m_streams) {
        decoding += stream->state == StreamState::Decoding ? 1 : 0;
        hasPrefill = hasPrefill || stream->state == StreamState::Prefilling;
    }
    if (decoding == 0)
        return;
    const double share = hasPrefill ? 1.0 - minPrefillShare : 1.0;
    const double total = static_cast<double>(m_settings.decodeTokensPerSecond) * share;
    const double perStream = std::min(static_cast<double>(m_settings.streamTokensPerSecond),
                                      total / static_cast<double>(decoding));
    for (const std::shared_ptr<Stream> &stream : m_streams) {
        if (stream->state != StreamState::Decoding || stream->isSuspended)
            continue;
        stream->tokenCredit += perStream * seconds;
        const TokenCount wholeTokens = static_cast<TokenCount>(stream->tokenCredit);
        stream->tokenCredit -= static_cast<double>(wholeTokens);
        stream->generated = std::min(stream->generated + wholeTokens, stream->request.maxTokens);
        m_generatedRanges[stream->request.id.value] = { stream->request.promptHash,
                                                        stream->request.firstToken,
                                                        stream->generated };
        if (stream->generated >= stream->request.maxTokens)
            end(*stream, StreamState::Finished);
    }
    remainingSeconds -= seconds * perStream * static_cast<double>(decoding)
                        / static_cast<double>(m_settings.decodeTokensPerSecond);
}

void Engine::prefill(double seconds, double remainingSeconds)
{
    const double usable = std::max(remainingSeconds, seconds * minPrefillShare);
    TokenCount budget =
        static_cast<TokenCount>(usable * static_cast<double>(m_settings.prefillTokensPerSecond));
    for (const std::shared_ptr<Stream> &stream : m_streams) {
        if (stream->state != StreamState::Prefilling)
            continue;
        const TokenCount remainingTokens = stream->request.promptTokens - stream->prefilled;
        const TokenCount processed = std::min(remainingTokens, budget);
        stream->prefilled += processed;
        m_warmUpTokens += processed;
        budget -= processed;
        if (stream->prefilled == stream->request.promptTokens)
            stream->state = stream->request.isShard ? StreamState::Held : StreamState::Decoding;
    }
}

void Engine::end(Stream &stream, StreamState state)
{
    if (isInBatch(stream)) {
        m_usedTokens -= memoryOf(stream.request);
        --m_usedSlots;
    }
    stream.state = state;
}

void Engine::recordLoad(Milliseconds now)
{
    m_loads.push_back({ now, loadLocked() });
    if (m_loads.size() > 2 * maxStoredLoads)
        m_loads.erase(m_loads.begin(), m_loads.begin() + maxStoredLoads);
}

double Engine::slowdown() const
{
    const bool collapses = !isWarmLocked() && m_usedSlots > m_settings.coldSlots;
    return collapses ? static_cast<double>(m_settings.coldSlowdown) : 1.0;
}

bool Engine::isWarmLocked() const
{
    return m_warmUpTokens >= m_settings.warmAfterTokens;
}

routing::LoadReport Engine::loadLocked() const
{
    routing::LoadReport load;
    load.bootId = m_bootId;
    load.usedTokens = m_usedTokens;
    load.usedSlots = m_usedSlots;
    load.isWarm = isWarmLocked();
    for (const std::shared_ptr<Stream> &stream : m_streams) {
        if (!stream->isOver())
            load.waitingPromptTokens += stream->request.promptTokens - stream->prefilled;
    }
    return load;
}

TokenCount countTokens(const std::string &prompt)
{
    TokenCount tokens = 0;
    TokenCount wordBytes = 0;
    for (char c : prompt) {
        const unsigned char byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || byte >= 0x80) {
            tokens += wordBytes % bytesPerToken == 0 ? 1 : 0;
            ++wordBytes;
            continue;
        }
        wordBytes = 0;
        tokens += std::isspace(byte) ? 0 : 1;
    }
    return tokens;
}

std::uint64_t extendPrompt(std::uint64_t state, const std::string &bytes)
{
    for (char byte : bytes) {
        state ^= static_cast<unsigned char>(byte);
        state *= 0x100000001b3U;
    }
    return state;
}

std::uint64_t promptHashOf(std::uint64_t state)
{
    return Random(state).next();
}

std::string tokenAt(std::uint64_t promptHash, TokenCount index)
{
    static constexpr std::array<const char *, 16> words {
        "badge", "hall",  "stall", "grant", "van",     "dealer", "date",  "review",
        "file",  "check", "gate",  "name",  "invoice", "county", "claim", "entry",
    };
    Random random(promptHash + static_cast<std::uint64_t>(index) * 0x9e3779b97f4a7c15U);
    const std::uint64_t bits = random.next();
    return std::string(words[bits % words.size()]) + std::to_string((bits >> 32U) % 1000) + ' ';
}

} // namespace egretmount::standins
