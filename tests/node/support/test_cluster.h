#pragma once

#include <csignal>
#include <string>
#include <vector>

#include <unistd.h>

#include "support/nodes.h"
#include "support/standin.h"

namespace egretmount::tests {

/// @brief A stand-in for the platform with targets, and instances that are ready.
///
/// Each test file uses its own subnet, so that test files can run in parallel.
struct TestCluster
{
    StandIn standIn;
    Nodes nodes;
    bool isReady = false;

    /// @param flags Further flags of all instances.
    explicit TestCluster(int subnet, int instances = 1, int engines = 3, int plainTargets = 2,
                         const std::vector<std::string> &flags = {})
        : standIn(subnet)
        , nodes((prepare(engines, plainTargets), standIn), instances,
                "/tmp/egretmount-node-" + std::to_string(getpid()) + '-' + std::to_string(subnet)
                    + ".log",
                {}, flags)
    {
        isReady = nodes.waitReady(static_cast<std::size_t>(instances));
    }

private:
    void prepare(int engines, int plainTargets)
    {
        standIn.put("op/config", testConfiguration(1));
        for (int i = 1; i <= engines; ++i)
            standIn.addTarget(i, "llm");
        for (int i = 1; i <= plainTargets; ++i)
            standIn.addTarget(50 + i, "app");
    }
};

/// @brief Returns a request without a prompt to the given route.
inline CallerRequest plainRequest(const std::string &route, const std::string &id)
{
    CallerRequest request;
    request.target = '/' + route + "/x?y=1";
    request.id = id;
    request.tokens.clear();
    return request;
}

/// @brief Cuts the first of two instances off from all targets, so that it relays its requests.
/// @param request Sent until both instances know, which failed connections tell them.
/// @return False if they do not know within some seconds.
inline bool cutFirstInstance(TestCluster &cluster, CallerRequest request)
{
    cluster.nodes.setCut(0, CutMode::Reset);
    const std::string id = request.id;
    for (int i = 0; i < 40 && cluster.nodes.directory(1).size() > 1; ++i) {
        request.id = id + std::to_string(i);
        cluster.nodes.sendRequest(0, request);
        usleep(100'000);
    }
    return cluster.nodes.directory(1).size() == 1;
}

} // namespace egretmount::tests
