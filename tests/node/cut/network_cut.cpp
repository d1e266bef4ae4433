// A library that is loaded into an instance before all others, and cuts the connections of this one
// process to targets, as a network partition would. A file holds the mode, which a test changes.

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdlib>

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/cut_mode.h"

using egretmount::tests::CutMode;

namespace {

constexpr int maxSockets = 4'096;
constexpr std::uint16_t targetPort = 8'080;
constexpr std::uint16_t targetProxyPort = 9'090;

struct TargetSocket
{
    bool isOpen = false;
    int poll = -1; ///< Descriptor of the epoll instance that watches it.
    epoll_event watched {};
};

std::array<TargetSocket, maxSockets> sockets;
std::atomic<CutMode> applied = CutMode::None;

using ConnectFunction = int (*)(int, const sockaddr *, socklen_t);
using ControlFunction = int (*)(int, int, int, epoll_event *);
using WaitFunction = int (*)(int, epoll_event *, int, int);
using CloseFunction = int (*)(int);

template<typename Function>
Function original(const char *name)
{
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

// Found at the first call, as constructors of other libraries may call them.
int realConnect(int socket, const sockaddr *address, socklen_t length)
{
    static const ConnectFunction function = original<ConnectFunction>("connect");
    return function(socket, address, length);
}

int realControl(int poll, int operation, int socket, epoll_event *event)
{
    static const ControlFunction function = original<ControlFunction>("epoll_ctl");
    return function(poll, operation, socket, event);
}

int realWait(int poll, epoll_event *events, int count, int timeout)
{
    static const WaitFunction function = original<WaitFunction>("epoll_wait");
    return function(poll, events, count, timeout);
}

int realClose(int socket)
{
    static const CloseFunction function = original<CloseFunction>("close");
    return function(socket);
}

CutMode mode()
{
    static const volatile std::uint8_t *const value = [] {
        const char *path = std::getenv("EGRETMOUNT_TEST_CUT");
        const int file = path != nullptr ? open(path, O_RDONLY | O_CLOEXEC) : -1;
        void *mapped = file < 0 ? MAP_FAILED : mmap(nullptr, 1, PROT_READ, MAP_SHARED, file, 0);
        return mapped == MAP_FAILED ? nullptr : static_cast<const volatile std::uint8_t *>(mapped);
    }();
    return value != nullptr ? static_cast<CutMode>(*value) : CutMode::None;
}

bool isTargetPort(std::uint16_t port)
{
    return port == targetPort || port == targetProxyPort;
}

bool isKnown(int socket)
{
    return socket >= 0 && socket < maxSockets;
}

bool isTargetSocket(int socket)
{
    return isKnown(socket) && sockets[static_cast<std::size_t>(socket)].isOpen;
}

bool isHeld(int socket)
{
    return applied == CutMode::Hang && isTargetSocket(socket);
}

// An address that accepts nothing: its queue of connections is full, so that the kernel drops what
// arrives.
sockaddr_in silentAddress()
{
    static const sockaddr_in address = [] {
        sockaddr_in bound {};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (bind(listener, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) != 0
            || listen(listener, 0) != 0)
            std::abort();
        socklen_t length = sizeof bound;
        getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &length);
        for (int i = 0; i < 3; ++i) {
            const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            realConnect(filler, reinterpret_cast<const sockaddr *>(&bound), sizeof bound);
        }
        return bound;
    }();
    return address;
}

// What was cut before the change is left as it is.
void applyMode()
{
    const CutMode wanted = mode();
    const CutMode before = applied.exchange(wanted);
    if (wanted == before)
        return;
    for (int socket = 0; socket < maxSockets; ++socket) {
        TargetSocket &target = sockets[static_cast<std::size_t>(socket)];
        if (!target.isOpen)
            continue;
        if (wanted == CutMode::Reset) {
            shutdown(socket, SHUT_RDWR);
        } else if (target.poll >= 0) {
            epoll_event event = target.watched;
            if (wanted == CutMode::Hang)
                event.events = 0;
            realControl(target.poll, EPOLL_CTL_MOD, socket, &event);
        }
    }
}

} // namespace

extern "C" {

int connect(int socket, const sockaddr *address, socklen_t length)
{
    const sockaddr_in *ip = reinterpret_cast<const sockaddr_in *>(address);
    if (address->sa_family != AF_INET || !isTargetPort(ntohs(ip->sin_port)) || !isKnown(socket))
        return realConnect(socket, address, length);
    sockets[static_cast<std::size_t>(socket)] = { true, -1, {} };
    switch (mode()) {
    case CutMode::None:
        return realConnect(socket, address, length);
    case CutMode::Hang: {
        const sockaddr_in silent = silentAddress();
        return realConnect(socket, reinterpret_cast<const sockaddr *>(&silent), sizeof silent);
    }
    case CutMode::Reset:
    case CutMode::RefuseNew:
        break;
    }
    errno = ECONNREFUSED;
    return -1;
}

int epoll_ctl(int poll, int operation, int socket, epoll_event *event)
{
    if (!isTargetSocket(socket))
        return realControl(poll, operation, socket, event);
    TargetSocket &target = sockets[static_cast<std::size_t>(socket)];
    if (operation == EPOLL_CTL_DEL || event == nullptr) {
        target.poll = -1;
        return realControl(poll, operation, socket, event);
    }
    target.poll = poll;
    target.watched = *event;
    epoll_event held = *event;
    if (isHeld(socket))
        held.events = 0;
    return realControl(poll, operation, socket, &held);
}

int epoll_wait(int poll, epoll_event *events, int count, int timeout)
{
    applyMode();
    return realWait(poll, events, count, timeout);
}

int close(int socket)
{
    if (isTargetSocket(socket))
        sockets[static_cast<std::size_t>(socket)] = {};
    return realClose(socket);
}
}
