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

/// @brief Rates and sizes of a simulated engine.
struct EngineSettings
{
    TokenCount memoryTokens = 200'000;
    std::int64_t slots = 64; ///< Maximum number of streams in the batch.
    std::int64_t prefillTokensPerSecond = 400'000; ///< Total of all prompts in the batch.
    std::int64_t decodeTokensPerSecond = 20'000; ///< Total of all streams in the batch.
    std::int64_t streamTokensPerSecond = 200; ///< Maximum decode rate of one stream.
    std::int64_t coldSlots = 2; ///< Streams that a cold engine runs at full rate.
    TokenCount warmAfterTokens = 0; ///< Prompt tokens until it is warm; 0: always warm.
    std::int64_t coldSlowdown = 20; ///< Slowdown factor of a cold engine above `coldSlots`.
    TokenCount scrambleTokens = 0; ///< Tokens per group sent in reverse and twice; 0: in order.
    Milliseconds reportLag; ///< Age of the reported load.
    /// How long a stream without a reader is kept, so that a caller can resume it.
    Milliseconds resumeWindow = Milliseconds(3000);
};

/// @brief A request to generate a stream of tokens, or to prefill one shard of a prompt.
struct StreamRequest
{
    RequestId id;
    std::uint64_t promptHash = 0;
    std::uint64_t promptState = 0; ///< State after the last byte; the next shard imports it.
    bool isShard = false; ///< Held after its prefill, for the shards that follow.
    TokenCount promptTokens = 0;
    TokenCount maxTokens = 0;
    TokenCount firstToken = 0; ///< Index of the first token to generate; above 0 on a resume.
    int priority = 0;
    Milliseconds deadline; ///< On the monotonic clock. The engine frees the memory then.
    std::string owner; ///< `instance/incarnation` of the sender.
};

enum class StreamState {
    Waiting, ///< Queued for memory or a slot.
    Prefilling,
    Decoding,
    Held, ///< A shard whose prefill is done and whose KV cache is kept.
    Finished,
    Cancelled,
    Expired,
};

/// @brief One stream of an engine. Guarded by the mutex of the engine.
struct Stream
{
    StreamRequest request;
    StreamState state = StreamState::Waiting;
    TokenCount prefilled = 0;
    TokenCount generated = 0; ///< One past the index of the last generated token.
    double tokenCredit = 0; ///< Fraction of the next token that is already decoded.
    bool isSuspended = false; ///< Does not decode, because a preceding shard was lost.
    int readers = 0;
    Milliseconds lastReaderAt;

    bool isOver() const { return state >= StreamState::Finished; }
};

/// @brief Highest usage so far. Tests check it against the limits of the engine.
struct EnginePeaks
{
    std::int64_t slots = 0;
    std::int64_t coldSlots = 0;
    TokenCount tokens = 0;
};

/// @brief Simulates a model engine with continuous batching. Thread-safe.
///
/// Every step has a fixed length. Decoding uses its share of the step first. Prefill uses the rest,
/// one prompt after the other in order of priority and arrival.
class Engine
{
public:
    explicit Engine(const EngineSettings &settings);
    ~Engine();

    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    /// @brief Starts a stream, or attaches a reader to a running stream of the same request.
    /// @return Null if the request needs more memory than the engine has in total.
    std::shared_ptr<Stream> open(const StreamRequest &request);

    /// @brief Waits until a stream has more than `seen` tokens, is held or over, or `timeout` ends.
    /// @return A snapshot of the stream.
    Stream waitFor(const std::shared_ptr<Stream> &stream, TokenCount seen, Milliseconds timeout);

    /// @brief Detaches a reader. A stream without readers expires after the resume window.
    void detachReader(const std::shared_ptr<Stream> &stream);

    /// @brief Restarts the resume window of a stream that another engine reads.
    /// @return False if no such stream exists.
    bool touch(const RequestId &id);

    /// @brief Stops the decoding of a stream until it is opened again.
    void suspend(const std::shared_ptr<Stream> &stream);

    /// @brief Cancels a stream; unknown ids are ignored.
    /// @param owner Cancels only streams of this owner; empty cancels those of any owner.
    void cancel(const RequestId &id, const std::string &owner);

    /// @brief Returns the load as of `reportLag` ago.
    routing::LoadReport report() const;

    /// @brief Returns the present load.
    routing::LoadReport currentLoad() const;

    EnginePeaks peaks() const;

    /// @brief Returns the tokens generated for a request so far; empty if the request is unknown.
    std::vector<std::string> generatedFor(const RequestId &id) const;

    /// @brief Makes the engine cold again, as after a restart.
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

/// @brief Counts the tokens of a prompt. @complexity Linear in its length.
TokenCount countTokens(const std::string &prompt);

/// @brief State of a prompt before its first byte (the offset basis of 64-bit FNV-1a).
constexpr std::uint64_t emptyPromptState = 0xcbf29ce484222325U;

/// @brief Returns the state after further bytes of a prompt (64-bit FNV-1a). It stands for the KV
///        cache that an engine exports.
std::uint64_t extendPrompt(std::uint64_t state, const std::string &bytes);

/// @brief Returns the hash that determines the output for a prompt.
/// @param state State after the last byte of the prompt.
std::uint64_t promptHashOf(std::uint64_t state);

/// @brief Returns the output token at an index. It is the same on every engine.
std::string tokenAt(std::uint64_t promptHash, TokenCount index);

} // namespace egretmount::standins
