#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <egretmount/core/clock.h>

namespace egretmount::tests {

/// @brief What a caller or a stand-in saw.
struct HistoryEvent
{
    enum class Kind {
        Call, ///< A caller's view of a call that may not be repeated.
        Stream, ///< A caller's view of a completion.
        Execution, ///< A plain target has executed the call.
        Memory, ///< What a target holds when all is over.
    } kind = Kind::Call;
    std::string key; ///< Request id, or target.
    std::string verdict;
    std::string answer; ///< Tokens or body; of `Memory`: what is held, empty if nothing.
    std::string expected; ///< What the answer has to be, if it is whole.
    bool isComplete = false;
    bool isDisturbed = false; ///< The instance was paused or ended meanwhile.
    Milliseconds elapsed;
    Milliseconds deadline;
};

/// @brief What was seen in one run. Any thread may add to it.
class History
{
public:
    void add(const HistoryEvent &event);

    /// @brief Writes one JSON object a line.
    void write(const std::string &path) const;

    /// @brief Every breach of what must hold: at most one execution a key, no execution after "not
    /// run", whole and own answers, deadlines, memory back.
    std::vector<std::string> violations() const;

    std::size_t size() const { return m_events.size(); }

private:
    void checkExecutions(std::vector<std::string> &found) const;

    mutable std::mutex m_mutex;
    std::vector<HistoryEvent> m_events;
};

/// @brief How much later than its deadline an answer may reach a caller on a busy machine.
constexpr Milliseconds deadlineSlack = Milliseconds(1'000);

} // namespace egretmount::tests
