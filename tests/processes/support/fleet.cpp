#include "support/fleet.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <Poco/Exception.h>
#include <doctest/doctest.h>
#include <unistd.h>

#include <egretmount/core/digest.h>

#include "http/headers.h"

namespace egretmount::tests {

using namespace literals;
using Poco::Net::HTTPRequest;

namespace {

constexpr Milliseconds callTimeout = 3'000_ms;
constexpr Milliseconds readyTimeout = 15'000_ms;
constexpr Milliseconds pollInterval = 20_ms;

// Each fleet has a loopback address of its own, so that test programs may run side by side.
std::string nextHost()
{
    static std::atomic<int> count { 0 };
    const int pid = static_cast<int>(::getpid());
    return "127." + std::to_string(10 + count++ % 200) + "." + std::to_string(pid / 250 % 250) + "."
           + std::to_string(1 + pid % 250);
}

std::string makeFolder()
{
    std::string name = std::filesystem::temp_directory_path().string() + "/egretmount-test-XXXXXX";
    if (!::mkdtemp(name.data()))
        throw std::runtime_error("cannot make a folder for the test");
    return name;
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_host(nextHost())
    , m_folder(makeFolder())
    , m_engines(static_cast<std::size_t>(m_options.engines))
    , m_plains(static_cast<std::size_t>(m_options.plainTargets))
    , m_entries(static_cast<std::size_t>(m_options.instances))
{
    startPlatform();
    for (int i = 0; i < m_options.engines; ++i)
        startEngine(i);
    for (int i = 0; i < m_options.plainTargets; ++i)
        startPlain(i);
    for (int i = 0; i < m_options.instances; ++i)
        startEntry(i);
}

Fleet::~Fleet()
{
    m_entries.clear();
    m_engines.clear();
    m_plains.clear();
    m_platform.kill();
    if (!std::getenv("EGRETMOUNT_KEEP_LOGS"))
        std::filesystem::remove_all(m_folder);
}

void Fleet::waitReady()
{
    const auto isReady = [this](int index) {
        try {
            const std::string text = fetchText(entryAddress(index), "/v1/locate");
            int count = 0;
            for (std::size_t at = text.find("\"instance\""); at != std::string::npos;
                 at = text.find("\"instance\"", at + 1))
                ++count;
            const bool isListed = count == m_options.instances;
            return isListed
                   && fetchText(entryAddress(index), "/health/ready").find("true")
                          != std::string::npos;
        } catch (const Poco::Exception &) {
            return false;
        }
    };
    for (int i = 0; i < m_options.instances; ++i)
        REQUIRE(waitUntil([&isReady, i] { return isReady(i); }, readyTimeout));
}

void Fleet::startPlatform()
{
    std::vector<std::string> arguments {
        "--platform_address=" + platformAddress(),
        "--platform_fleetFile=" + write("fleet.ini", document(1)),
        "--platform_instancesFile=" + write("instances.ini", instanceList()),
    };
    arguments.insert(arguments.end(), m_options.platformFlags.begin(),
                     m_options.platformFlags.end());
    m_platform = Process("egretmount-fake-platform", arguments, log("platform"));
}

void Fleet::startEntry(int index)
{
    const std::string name = "entry-" + std::to_string(index);
    const std::string settings =
        "[instance]\nid=" + name + "\nzone=" + zone(index) + "\nhttpAddress=" + entryAddress(index)
        + "\nrpcAddress=" + rpcAddress(index) + "\n[platform]\naddress=" + platformAddress()
        + "\n[peers]\nfleetKey=test-fleet-key\n" + m_options.entrySettings;
    m_entries.at(static_cast<std::size_t>(index)) =
        Process("egretmount-entry", { "--settings=" + write(name + ".ini", settings) }, log(name));
}

void Fleet::startEngine(int index)
{
    std::vector<std::string> arguments { "--target_address=" + engineAddress(index),
                                         "--target_mode=engine" };
    arguments.insert(arguments.end(), m_options.engineFlags.begin(), m_options.engineFlags.end());
    m_engines.at(static_cast<std::size_t>(index)) =
        Process("egretmount-fake-target", arguments, log("engine-" + std::to_string(index)));
}

void Fleet::startPlain(int index)
{
    std::vector<std::string> arguments { "--target_address=" + plainAddress(index),
                                         "--target_mode=plain" };
    arguments.insert(arguments.end(), m_options.plainFlags.begin(), m_options.plainFlags.end());
    m_plains.at(static_cast<std::size_t>(index)) =
        Process("egretmount-fake-target", arguments, log("plain-" + std::to_string(index)));
}

std::string Fleet::document(std::uint64_t version) const
{
    std::string text = "[fleet]\nversion=" + std::to_string(version) + "\nname=test\n";
    for (const std::string &name : m_options.zones)
        text += "[zone." + name + "]\nstate=active\n";
    text += "[service.llm]\nkind=engine\nmodel=egret-7b\n" + m_options.serviceKeys;
    text += "[service.app]\nkind=plain\n" + m_options.plainServiceKeys;
    for (int i = 0; i < m_options.engines; ++i)
        text += "[target.engine-" + std::to_string(i) + "]\nservice=llm\nzone=" + zone(i)
                + "\naddress=" + engineAddress(i) + "\n" + m_options.targetKeys;
    for (int i = 0; i < m_options.plainTargets; ++i)
        text += "[target.plain-" + std::to_string(i) + "]\nservice=app\nzone=" + zone(i)
                + "\naddress=" + plainAddress(i) + "\n" + m_options.plainTargetKeys;
    text += "[priority.normal]\nlevel=10\n[team.testers]\npriority=normal\ntokenHash="
            + toHex(sha256(token)) + "\n";
    return text;
}

int Fleet::publish(const std::string &text, std::uint64_t seen) const
{
    HTTPRequest request(HTTPRequest::HTTP_PUT, "/v1/fleet?force=1",
                        Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("If-Match", std::to_string(seen));
    return http::fetch(platformAddress(), request, text, callTimeout)->status();
}

std::string Fleet::instanceList(const std::vector<int> &left) const
{
    std::string text;
    for (int i = 0; i < m_options.instances; ++i) {
        if (std::find(left.begin(), left.end(), i) != left.end())
            continue;
        text += "[instance.entry-" + std::to_string(i) + "]\nzone=" + zone(i)
                + "\nhttpAddress=" + entryAddress(i) + "\nrpcAddress=" + rpcAddress(i) + "\n";
    }
    return text;
}

void Fleet::publishInstances(const std::string &text) const
{
    HTTPRequest request(HTTPRequest::HTTP_PUT, "/v1/instances", Poco::Net::HTTPMessage::HTTP_1_1);
    http::fetch(platformAddress(), request, text, callTimeout);
}

void Fleet::setPlatformFault(const std::string &kind) const
{
    HTTPRequest request(HTTPRequest::HTTP_POST, "/v1/fault?kind=" + kind,
                        Poco::Net::HTTPMessage::HTTP_1_1);
    http::fetch(platformAddress(), request, {}, callTimeout);
}

load::CallerRequest Fleet::request(int entryIndex, const std::string &id, TokenCount promptTokens,
                                   TokenCount maxTokens) const
{
    load::CallerRequest request;
    request.address = entryAddress(entryIndex);
    request.token = token;
    request.id = RequestId(id);
    request.model = "llm";
    while (static_cast<TokenCount>(request.prompt.size()) < promptTokens * 4)
        request.prompt += "eat ";
    request.prompt += id;
    request.maxTokens = maxTokens;
    request.deadline = 20'000_ms;
    return request;
}

std::string Fleet::fetchText(const std::string &address, const std::string &path) const
{
    return http::fetch(address, path, callTimeout)->body;
}

std::string Fleet::write(const std::string &name, const std::string &text) const
{
    std::string path = m_folder + "/" + name;
    std::ofstream(path) << text;
    return path;
}

std::string Fleet::zone(int index) const
{
    return m_options.zones.at(static_cast<std::size_t>(index) % m_options.zones.size());
}

bool waitUntil(const std::function<bool()> &condition, Milliseconds timeout)
{
    const Milliseconds end = monotonicNow() + timeout;
    while (!condition()) {
        if (monotonicNow() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(pollInterval.count()));
    }
    return true;
}

} // namespace egretmount::tests
