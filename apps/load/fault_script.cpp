#include "fault_script.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include "http/client.h"
#include "http/headers.h"

namespace egretmount::load {

using namespace literals;
using Poco::Net::HTTPRequest;

namespace {

constexpr Milliseconds callTimeout = 3'000_ms;

// Returns the number of a signal, or 0 if the name is not supported.
int signalNamed(const std::string &name)
{
    static const std::map<std::string, int> signals {
        { "TERM", SIGTERM }, { "KILL", SIGKILL }, { "STOP", SIGSTOP },
        { "CONT", SIGCONT }, { "INT", SIGINT },
    };
    const auto found = signals.find(name);
    return found == signals.end() ? 0 : found->second;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    return { std::istreambuf_iterator<char>(stream), {} };
}

// Replaces a document on the platform. Sends the current version of the fleet document as
// `If-Match`.
void put(const std::string &address, const std::string &path, const std::string &body)
{
    HTTPRequest request(HTTPRequest::HTTP_PUT, path, Poco::Net::HTTPMessage::HTTP_1_1);
    const std::unique_ptr<http::Reply> current = http::fetch(address, "/v1/fleet", callTimeout);
    request.set("If-Match", current->response.get(http::versionHeader, "0"));
    const int status = http::fetch(address, request, body, callTimeout)->status();
    if (status >= 300)
        throw std::runtime_error(path + " returned status " + std::to_string(status));
}

void post(const std::string &address, const std::string &path)
{
    HTTPRequest request(HTTPRequest::HTTP_POST, path, Poco::Net::HTTPMessage::HTTP_1_1);
    http::fetch(address, request, {}, callTimeout);
}

} // namespace

ProcessIds readProcessIds(const std::string &text)
{
    ProcessIds processes;
    std::istringstream stream(text);
    for (std::string one; std::getline(stream, one, ',');) {
        const std::size_t equals = one.find('=');
        if (equals == std::string::npos)
            throw std::invalid_argument("'" + one + "' is not name=pid");
        processes[one.substr(0, equals)] = std::stoi(one.substr(equals + 1));
    }
    return processes;
}

std::string checkFaults(const Experiment &experiment, const ProcessIds &processes)
{
    for (const Fault &fault : experiment.faults) {
        const bool isSignal = fault.kind == FaultKind::Signal;
        if (isSignal && processes.find(fault.subject) == processes.end())
            return "fault " + fault.name + ": no process id for '" + fault.subject + "'";
        if (isSignal && signalNamed(fault.value) == 0)
            return "fault " + fault.name + ": unsupported signal '" + fault.value + "'";
        const bool isFile = fault.kind == FaultKind::Document || fault.kind == FaultKind::Instances;
        if (isFile && readFile(fault.subject).empty())
            return "fault " + fault.name + ": file '" + fault.subject + "' is missing or empty";
        const bool needsPlatform = isFile || fault.kind == FaultKind::Platform;
        if (needsPlatform && experiment.platformAddress.empty())
            return "fault " + fault.name + ": no platform address";
    }
    return {};
}

void injectFault(const Fault &fault, const std::string &platformAddress,
                 const ProcessIds &processes)
{
    switch (fault.kind) {
    case FaultKind::Signal:
        ::kill(processes.at(fault.subject), signalNamed(fault.value));
        break;
    case FaultKind::Document:
        put(platformAddress, "/v1/fleet?force=1", readFile(fault.subject));
        break;
    case FaultKind::Instances:
        put(platformAddress, "/v1/instances", readFile(fault.subject));
        break;
    case FaultKind::Platform:
        post(platformAddress, "/v1/fault?kind=" + fault.value);
        break;
    case FaultKind::Target:
        post(fault.subject, "/v1/fault?kind=" + fault.value);
        break;
    }
}

} // namespace egretmount::load
