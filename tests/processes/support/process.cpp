#include "support/process.h"

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace egretmount::tests {

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logFile, const std::vector<std::string> &environment)
{
    std::string path = std::string(EGRETMOUNT_BIN_DIR) + "/" + program;
    std::vector<std::string> words = arguments;
    std::vector<char *> argv { path.data() };
    for (std::string &word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);

    std::vector<std::string> variables = environment;
    for (char **variable = environ; *variable != nullptr; ++variable)
        variables.emplace_back(*variable);
    std::vector<char *> envp;
    envp.reserve(variables.size() + 1);
    for (std::string &variable : variables)
        envp.push_back(variable.data());
    envp.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const int flags = O_WRONLY | O_CREAT | O_APPEND;
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), flags, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A listening socket of the test must not live on in the child once the test closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error =
        posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), envp.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + path);
}

Process::~Process()
{
    kill();
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{ }

Process &Process::operator=(Process &&other) noexcept
{
    if (this != &other) {
        kill();
        m_pid = std::exchange(other.m_pid, -1);
    }
    return *this;
}

long Process::residentMb() const
{
    std::ifstream statm("/proc/" + std::to_string(m_pid) + "/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE) / (1'024L * 1'024);
}

bool Process::isRunning()
{
    if (m_pid < 0)
        return false;
    siginfo_t info {};
    const int result =
        ::waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOHANG | WNOWAIT);
    return result == 0 && info.si_pid == 0;
}

void Process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

int Process::wait()
{
    if (m_pid < 0)
        return -1;
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    m_endSignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Process::kill()
{
    if (m_pid < 0)
        return;
    signal(SIGKILL);
    wait();
}

} // namespace egretmount::tests
