#pragma once

#include <csignal>
#include <string>

#include <unistd.h>

#include "support/nodes.h"
#include "support/standin.h"

namespace egretmount::tests {

/// @brief A stand-in with targets and instances that are ready; each test file has its own subnet.
struct TestCluster
{
    StandIn standIn;
    Nodes nodes;
    bool isReady = false;

    explicit TestCluster(int subnet, int instances = 1, int engines = 3, int plainTargets = 2)
        : standIn(subnet)
        , nodes((prepare(engines, plainTargets), standIn), instances,
                "/tmp/egretmount-node-" + std::to_string(getpid()) + '-' + std::to_string(subnet)
                    + ".log")
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

/// @brief A plain request.
inline CallerRequest plainRequest(const std::string &route, const std::string &id)
{
    CallerRequest request;
    request.target = '/' + route + "/x?y=1";
    request.id = id;
    request.tokens.clear();
    return request;
}

} // namespace egretmount::tests
