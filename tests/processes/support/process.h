#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace egretmount::tests {

/// @brief A child process; ended and reaped by the destructor.
class Process
{
public:
    Process() = default;

    /// @param program Name of a binary of this build.
    /// @param logFile Receives the standard error.
    /// @param environment Further variables, as `NAME=value`.
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &logFile, const std::vector<std::string> &environment = {});
    ~Process();

    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    pid_t id() const { return m_pid; }
    bool isRunning();

    /// @brief Returns the resident memory in MB; zero if the process has ended.
    long residentMb() const;

    /// @brief Sends a signal: SIGKILL, SIGTERM, SIGSTOP to freeze, SIGCONT to go on.
    void signal(int number) const;

    /// @brief Waits for the end. @return The exit code; minus one if a signal ended it.
    int wait();

    /// @brief Returns the signal that ended the process that was waited for last; zero: none.
    int endSignal() const { return m_endSignal; }

    /// @brief Kills and reaps it.
    void kill();

private:
    pid_t m_pid = -1;
    int m_endSignal = 0;
};

} // namespace egretmount::tests
