#include "fault_proxy.h"

#include <algorithm>
#include <future>

namespace egretmount::soak {

namespace {

constexpr Milliseconds delay = Milliseconds(250); // longer than a target usually takes

} // namespace

struct FaultProxies::Proxy
{
    std::string target;
    ProxyMode mode = ProxyMode::Pass;
    std::shared_ptr<net::Listener> listener;
    std::vector<std::weak_ptr<Link>> links;
};

/// @brief One end of a proxied connection.
class FaultProxies::Side : public net::StreamListener
{
public:
    using Hear = std::function<void()>;

    Hear bytes;
    Hear ended;

private:
    void onBytes() override { bytes(); }
    void onEnd(net::StreamEnd) override { ended(); }
};

/// @brief Two connections that pass bytes to each other.
class FaultProxies::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(net::Reactor &reactor, std::shared_ptr<Proxy> proxy)
        : m_reactor(reactor)
        , m_proxy(std::move(proxy))
    { }

    void begin(const Poco::Net::StreamSocket &socket)
    {
        m_self = shared_from_this();
        m_near.bytes = [this] { pass(m_nearStream, m_farStream, false); };
        m_far.bytes = [this] { pass(m_farStream, m_nearStream, true); };
        m_near.ended = m_far.ended = [this] { end(); };
        m_nearStream = net::TcpStream::adopt(m_reactor, socket, &m_near);
        m_farStream = net::TcpStream::connect(m_reactor, m_proxy->target, &m_far);
        if (m_proxy->mode == ProxyMode::Reset)
            reset();
    }

    void reset()
    {
        m_nearStream->abort();
        m_farStream->abort();
        m_reactor.defer([self = std::move(m_self)] {});
    }

    // Bytes that were held back go on once the proxy passes again.
    void resume()
    {
        pass(m_nearStream, m_farStream, false);
        pass(m_farStream, m_nearStream, true);
    }

private:
    void pass(const std::shared_ptr<net::TcpStream> &from,
              const std::shared_ptr<net::TcpStream> &to, bool isAnswer)
    {
        const ProxyMode mode = m_proxy->mode;
        if (mode == ProxyMode::Silence || (mode == ProxyMode::Deaf && isAnswer)
            || from->input().empty())
            return;
        std::string bytes = std::move(from->input());
        from->input().clear();
        // What follows delayed bytes never overtakes them.
        Milliseconds &release = isAnswer ? m_answersAt : m_requestsAt;
        const Milliseconds now = m_reactor.now();
        const Milliseconds at = mode == ProxyMode::Delay ? now + delay : now;
        release = std::max(release, at);
        if (release <= now) {
            to->write(bytes);
            return;
        }
        m_reactor.after(release - now, [to, bytes = std::move(bytes)] { to->write(bytes); });
    }

    void end()
    {
        m_nearStream->closeGracefully();
        m_farStream->closeGracefully();
        m_reactor.defer([self = std::move(m_self)] {});
    }

    net::Reactor &m_reactor;
    std::shared_ptr<Proxy> m_proxy;
    std::shared_ptr<Link> m_self;
    Side m_near;
    Side m_far;
    std::shared_ptr<net::TcpStream> m_nearStream;
    std::shared_ptr<net::TcpStream> m_farStream;
    Milliseconds m_requestsAt; // when what is passed on next may go out
    Milliseconds m_answersAt;
};

FaultProxies::FaultProxies()
{
    m_reactor.every(Milliseconds(3), [this] {
        std::vector<std::function<void()>> tasks;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            tasks.swap(m_tasks);
        }
        for (const std::function<void()> &task : tasks)
            task();
    });
    m_thread = std::thread([this] { m_reactor.run(); });
}

FaultProxies::~FaultProxies()
{
    call([this] { m_reactor.stop(); });
    m_thread.join();
}

void FaultProxies::call(const std::function<void()> &task)
{
    std::promise<void> done;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tasks.push_back([&] {
            task();
            done.set_value();
        });
    }
    done.get_future().wait();
}

int FaultProxies::add(const std::string &listenAddress, const std::string &targetAddress)
{
    int number = 0;
    call([&] {
        const std::shared_ptr<Proxy> proxy = std::make_shared<Proxy>();
        proxy->target = targetAddress;
        proxy->listener = net::Listener::open(
            m_reactor, listenAddress, [this, proxy](const Poco::Net::StreamSocket &socket) {
                const std::shared_ptr<Link> link = std::make_shared<Link>(m_reactor, proxy);
                proxy->links.push_back(link);
                link->begin(socket);
            });
        m_proxies.push_back(proxy);
        number = static_cast<int>(m_proxies.size()) - 1;
    });
    return number;
}

void FaultProxies::setMode(int proxy, ProxyMode mode)
{
    call([&] {
        Proxy &changed = *m_proxies.at(static_cast<std::size_t>(proxy));
        changed.mode = mode;
        std::vector<std::shared_ptr<Link>> links;
        for (const std::weak_ptr<Link> &weak : changed.links) {
            if (const std::shared_ptr<Link> link = weak.lock())
                links.push_back(link);
        }
        changed.links.assign(links.begin(), links.end());
        for (const std::shared_ptr<Link> &link : links) {
            if (mode == ProxyMode::Reset)
                link->reset();
            else
                link->resume();
        }
    });
}

} // namespace egretmount::soak
