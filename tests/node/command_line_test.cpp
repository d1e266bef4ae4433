#include <doctest/doctest.h>

#include <fstream>

#include "support/process.h"

using namespace egretmount::tests;

namespace {

int check(const std::string &name, const std::string &text)
{
    const std::string path = "/tmp/egretmount-check-" + name + ".json";
    std::ofstream(path) << text;
    Process process("egretmount-node", { "--check", "--settings=" + path }, path + ".log");
    return process.wait();
}

} // namespace

TEST_CASE("settings are checked before anything starts")
{
    const std::string good =
        "{\"nodeName\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"z\",\"listenAddrs\":{\"front\":"
        "\"127.0.0.1:1\",\"ready\":\"127.0.0.1:2\",\"directory\":\"127.0.0.1:3\"},"
        "\"portRange\":[1,2],\"platform\":{\"address\":\"127.0.0.1:4\"}}";
    CHECK(check("good", good) == 0);
    CHECK(check("broken", "{\"nodeName\":") == 2);
    CHECK(check("incomplete", "{\"nodeName\":\"n\"}") == 2);
    Process missing("egretmount-node", { "--check", "--settings=/nonexistent" },
                    "/tmp/egretmount-check-missing.log");
    CHECK(missing.wait() == 2);
}

TEST_CASE("an address that cannot be listened on ends the process with its own code")
{
    const std::string path = "/tmp/egretmount-check-taken.json";
    std::ofstream(path) << "{\"nodeName\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"z\","
                           "\"listenAddrs\":{\"front\":\"203.0.113.1:1\",\"ready\":"
                           "\"127.0.0.1:2\",\"directory\":\"127.0.0.1:3\"},\"portRange\":[17340,"
                           "17341],\"platform\":{\"address\":\"127.0.0.1:4\"}}";
    Process process("egretmount-node", { "--settings=" + path }, path + ".log");
    CHECK(process.wait() == 3);
}
