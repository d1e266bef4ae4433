// Targets that run as processes of their own and are killed with SIGKILL while they respond.

#include <doctest/doctest.h>

#include <csignal>

#include "support/test_cluster.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

constexpr int subnet = 20;
constexpr int killedTarget = 30;

/// @brief A cluster whose only target for engines and for plain requests is a process.
struct KillCluster
{
    TestCluster cluster;
    Process target;
    int restarts = 0;

    KillCluster(const std::string &service, std::vector<std::string> flags)
        : cluster(subnet, 1, 0, 0)
        , m_flags(std::move(flags))
    {
        m_flags.push_back("--subnet=" + std::to_string(subnet));
        m_flags.push_back("--number=" + std::to_string(killedTarget));
        startTarget();
        cluster.standIn.addTargetProcess(killedTarget, service);
        usleep(300'000); // until the instance knows the target
    }

    void startTarget()
    {
        std::vector<std::string> flags = m_flags;
        flags.push_back("--restarts=" + std::to_string(restarts));
        target = Process("egretmount-test-target", flags, cluster.nodes.logFile() + ".target");
    }

    /// @brief Kills the target, and starts it anew at the same address with another start stamp.
    void kill(bool startsAnew)
    {
        target.kill();
        if (!startsAnew)
            return;
        ++restarts;
        startTarget();
        cluster.standIn.setRestarts(killedTarget, restarts);
    }

private:
    std::vector<std::string> m_flags;
};

/// @brief Sends a request and kills its target after some time.
Response killDuring(KillCluster &kill, const CallerRequest &request, bool startsAnew)
{
    Caller caller(kill.cluster.nodes.callerAddress(0));
    caller.send(request.text());
    usleep(150'000);
    // The target that takes over.
    kill.cluster.standIn.addTarget(1, "llm");
    usleep(200'000);
    kill.kill(startsAnew);
    return caller.receive("POST");
}

/// @brief Returns the number of the last event if events are numbered without gaps, else -1.
int lastEventOf(const std::string &body)
{
    int last = 0;
    std::string expected;
    while (expected.size() < body.size()) {
        const std::string number = std::to_string(++last);
        expected.append("id: ")
            .append(number)
            .append("\ndata: event ")
            .append(number)
            .append("\n\n");
    }
    return expected == body ? last : -1;
}

} // namespace

// Guards against a stream that ends as complete because the kernel ends the connections of a killed
// target with FIN.
TEST_CASE("target kill: a stream is resumed when its target's process is killed")
{
    for (const char *omitsLength : { "--omits_length=false", "--omits_length=true" }) {
        for (const bool startsAnew : { false, true }) {
            CAPTURE(omitsLength);
            CAPTURE(startsAnew);
            KillCluster kill("llm", { omitsLength, "--events=60", "--gap_ms=10" });
            Script script;
            script.events = 60;
            kill.cluster.standIn.setScript([script](const Arrival &) { return script; });
            CallerRequest request;
            request.id = "killed";
            const Response response = killDuring(kill, request, startsAnew);
            CHECK(response.isComplete);
            CHECK(lastEventOf(response.body) == 60);
        }
    }
}

// Guards against the same end where the stream may not be resumed.
TEST_CASE("target kill: a stream that is not resumable ends incomplete when its target is killed")
{
    for (const char *omitsLength : { "--omits_length=false", "--omits_length=true" }) {
        for (const bool startsAnew : { false, true }) {
            CAPTURE(omitsLength);
            CAPTURE(startsAnew);
            KillCluster kill("llm", { omitsLength });
            CallerRequest request;
            request.target = "/fixed/x";
            const Response response = killDuring(kill, request, startsAnew);
            CHECK(response.status == 200);
            CHECK_FALSE(response.isComplete);
            CHECK(lastEventOf(response.body) > 0);
        }
    }
}

// Guards against the same end of a plain response, buffered and already begun.
TEST_CASE("target kill: half of a plain response does not look complete")
{
    for (const char *omitsLength : { "--omits_length=false", "--omits_length=true" }) {
        for (const char *size : { "--body_bytes=200", "--body_bytes=1000000" }) {
            CAPTURE(omitsLength);
            CAPTURE(size);
            KillCluster kill("app", { omitsLength, size, "--events=0", "--kills_itself" });
            const Response response =
                kill.cluster.nodes.sendRequest(0, plainRequest("pay", "killed"));
            CHECK(kill.target.wait() == -1); // killed by a signal
            CHECK_FALSE((response.status == 200 && response.isComplete));
        }
    }
}
