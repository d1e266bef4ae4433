#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <egretmount/core/clock.h>
#include <egretmount/core/error.h>
#include <egretmount/core/ids.h>
#include <egretmount/routing/load_report.h>

namespace egretmount::standins {

/// @brief Rates and sizes of an engine stand-in.
struct EngineSettings
{
    TokenCount memoryTokens = 200'000;
    std::int64_t slots = 64; ///< Streams in the batch at one time.
    std::int64_t prefillTokensPerSecond = 400'000; ///< Shared by all prompts in the batch.
    std::int64_t decodeTokensPerSecond = 20'000; ///< Shared by all streams in the batch.
    std::int64_t streamTokensPerSecond = 200; ///< Most of one stream.
    std::int64_t coldSlots = 2; ///< More than this many streams while cold: rates collapse.
    TokenCount warmAfterTokens = 0; ///< Prompt tokens to process until warm; 0: warm at once.
    std::int64_t coldSlowdown = 20; ///< Factor by which an overloaded cold engine is slower.
    TokenCount scrambleTokens = 0; ///< Sent out of order and repeated, so many at a time.
    Milliseconds reportLag; ///< Age of the load that it reports.
    Milliseconds resumeWindow = Milliseconds(3000); ///< A stream without a reader lives so long.
};

/// @brief What an engine is asked to generate.
struct StreamRequest
{
    RequestId id;
    std::uint64_t promptHash = 0;
    std::uint64_t promptState = 0; ///< Behind the last byte, for the part that follows.
    bool isShard = false; ///< Held after its prefill, for the parts behind it.
    TokenCount promptTokens = 0;
    TokenCount maxTokens = 0;
    TokenCount firstToken = 0; ///< Resume: index of the first token to generate.
    int priority = 0;
    Milliseconds deadline; ///< On the monotonic clock; memory is given back then.
    std::string owner; ///< `instance/incarnation` that sent it.
};

enum class StreamState {
    Waiting, ///< For memory or a slot.
    Prefilling,
    Decoding,
    Held, ///< A part whose prefill is done.
    Finished,
    Cancelled,
    Expired,
};

/// @brief One stream of an engine. Guarded by the engine's lock.
struct Stream
{
    StreamRequest request;
    StreamState state = StreamState::Waiting;
    TokenCount prefilled = 0;
    TokenCount generated = 0; ///< Index behind the last token that is ready.
    double tokenCredit = 0; ///< Fraction of the next token.
    bool isSuspended = false; ///< Generates nothing, as a part before it is lost.
    int readers = 0;
    Milliseconds lastReaderAt;

    bool isOver() const { return state >= StreamState::Finished; }
};

/// @brief Highest use seen, for checks of the bounds.
struct EnginePeaks
{
    std::int64_t slots = 0;
    std::int64_t coldSlots = 0;
    TokenCount tokens = 0;
};

/// @brief A stand-in for a model engine that batches continuously.
///
/// Every step has a fixed length. Decoding takes its share of the step first, prompts take the
/// rest, one after the other by priority and arrival.
class Engine
{
public:
    explicit Engine(const EngineSettings &settings);
    ~Engine();

    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    /// @brief Starts a stream, or joins the one with the same id. @return Null if it never fits.
    std::shared_ptr<Stream> open(const StreamRequest &request);

    /// @brief Waits until a stream has more than `seen` tokens, is over, or the time is up.
    /// @return A copy of the stream.
    Stream waitFor(const std::shared_ptr<Stream> &stream, TokenCount seen, Milliseconds timeout);

    /// @brief Tells that a reader has gone; without readers a stream ends after the resume window.
    void detachReader(const std::shared_ptr<Stream> &stream);

    /// @brief Notes that a stream is in use by another engine. @return False if there is none.
    bool touch(const RequestId &id);

    /// @brief Stops a stream from generating until it is opened again.
    void suspend(const std::shared_ptr<Stream> &stream);

    /// @brief Cancels a stream; unknown ids are ignored.
    /// @param owner Empty, or the owner that the stream must have.
    void cancel(const RequestId &id, const std::string &owner);

    /// @brief The load as reported, with its lag.
    routing::LoadReport report() const;

    /// @brief The load as it is.
    routing::LoadReport currentLoad() const;

    EnginePeaks peaks() const;

    /// @brief The tokens generated for a request so far; empty if it is unknown.
    std::vector<std::string> generatedFor(const RequestId &id) const;

    /// @brief Makes the engine cold, as after a start.
    void resetWarmUp();

private:
    void run();
    void step(double seconds);
    void expire(Milliseconds now);
    void admit();
    void decode(double seconds, double &remainingSeconds);
    void prefill(double seconds, double remainingSeconds);
    void end(Stream &stream, StreamState state);
    void recordLoad(Milliseconds now);
    double slowdown() const;
    routing::LoadReport loadLocked() const;
    bool isWarmLocked() const;

    struct GeneratedRange
    {
        std::uint64_t promptHash = 0;
        TokenCount first = 0;
        TokenCount end = 0;
    };

    struct TimedLoad
    {
        Milliseconds at;
        routing::LoadReport load;
    };

    EngineSettings m_settings;
    std::uint64_t m_bootId;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::shared_ptr<Stream>> m_streams; // in order of arrival
    std::map<std::string, GeneratedRange> m_generatedRanges; // by request id
    std::vector<TimedLoad> m_loads;
    EnginePeaks m_peaks;
    TokenCount m_usedTokens = 0;
    std::int64_t m_usedSlots = 0;
    TokenCount m_warmUpTokens = 0;
    bool m_isStopping = false;
    std::thread m_thread;
};

/// @brief Number of tokens of a prompt. @complexity Linear in its length.
TokenCount countTokens(const std::string &prompt);

/// @brief State of a prompt before its first byte.
constexpr std::uint64_t emptyPromptState = 0xcbf29ce484222325U;

/// @brief The state behind further bytes of a prompt; stands for the KV that an engine exports.
std::uint64_t extendPrompt(std::uint64_t state, const std::string &bytes);

/// @brief The hash that decides the answer to a prompt, from the state behind its last byte.
std::uint64_t promptHashOf(std::uint64_t state);

/// @brief The token with an index of the answer to a prompt; the same on every engine.
std::string tokenAt(std::uint64_t promptHash, TokenCount index);

} // namespace egretmount::standins
