#include "rpc/gate.h"

#include <array>

#include <kj/debug.h>
#include <openssl/rand.h>

#include <egretmount/core/digest.h>

namespace egretmount::rpc {

namespace {

constexpr std::size_t nonceBytes = 32;

std::string makeNonce()
{
    std::array<unsigned char, nonceBytes> bytes {};
    KJ_REQUIRE(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1, "no random bytes");
    return { reinterpret_cast<const char *>(bytes.data()), bytes.size() };
}

std::string toString(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

capnp::Data::Reader toData(std::string_view bytes)
{
    return { reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size() };
}

// Computes the HMAC with which a side proves the fleet key. Each field is prefixed with its length,
// so that two different handshakes never sign the same bytes.
std::string handshakeProof(const std::string &key, std::string_view role,
                           const std::string &clientNonce, const std::string &serverNonce,
                           const PeerIdentity &client)
{
    std::string message;
    const auto append = [&message](std::string_view part) {
        message += std::to_string(part.size()) + ':';
        message += part;
    };
    append(role);
    append(clientNonce);
    append(serverNonce);
    append(client.run.instance.value);
    append(std::to_string(client.run.incarnation));
    append(client.zone.value);
    append(client.httpAddress);
    append(client.rpcAddress);
    return std::string(bytesOf(hmacSha256(key, message)));
}

class DoorServer final : public wire::Door::Server
{
public:
    DoorServer(std::string expectedProof, PeerIdentity caller, PeerFactory factory)
        : m_expectedProof(std::move(expectedProof))
        , m_caller(std::move(caller))
        , m_factory(std::move(factory))
    { }

    kj::Promise<void> enter(EnterContext context) override
    {
        const std::string proof = toString(context.getParams().getProof());
        KJ_REQUIRE(!m_isUsed, "a door opens once");
        m_isUsed = true;
        KJ_REQUIRE(isEqualConstantTime(proof, m_expectedProof), "the proof of the key is wrong");
        context.getResults().setPeer(m_factory(m_caller));
        return kj::READY_NOW;
    }

private:
    std::string m_expectedProof;
    PeerIdentity m_caller;
    PeerFactory m_factory;
    bool m_isUsed = false;
};

class GateServer final : public wire::Gate::Server
{
public:
    GateServer(std::string key, PeerFactory factory)
        : m_key(std::move(key))
        , m_factory(std::move(factory))
    { }

    kj::Promise<void> hello(HelloContext context) override
    {
        const std::string clientNonce = toString(context.getParams().getNonce());
        KJ_REQUIRE(clientNonce.size() == nonceBytes, "the nonce has a wrong length");
        const PeerIdentity caller = readIdentity(context.getParams().getSelf());
        const std::string nonce = makeNonce();
        const std::string proof = handshakeProof(m_key, "gate", clientNonce, nonce, caller);
        context.getResults().setNonce(toData(nonce));
        context.getResults().setProof(toData(proof));
        context.getResults().setDoor(kj::heap<DoorServer>(
            handshakeProof(m_key, "door", clientNonce, nonce, caller), caller, m_factory));
        return kj::READY_NOW;
    }

private:
    std::string m_key;
    PeerFactory m_factory;
};

} // namespace

InstanceRun readRun(wire::InstanceRun::Reader reader)
{
    return { InstanceId(reader.getInstance().cStr()), reader.getIncarnation() };
}

void writeRun(const InstanceRun &run, wire::InstanceRun::Builder builder)
{
    builder.setInstance(run.instance.value);
    builder.setIncarnation(run.incarnation);
}

PeerIdentity readIdentity(wire::Identity::Reader reader)
{
    PeerIdentity identity;
    identity.run = readRun(reader.getRun());
    identity.zone = ZoneId(reader.getZone().cStr());
    identity.httpAddress = reader.getHttpAddress().cStr();
    identity.rpcAddress = reader.getRpcAddress().cStr();
    return identity;
}

void writeIdentity(const PeerIdentity &identity, wire::Identity::Builder builder)
{
    writeRun(identity.run, builder.initRun());
    builder.setZone(identity.zone.value);
    builder.setHttpAddress(identity.httpAddress);
    builder.setRpcAddress(identity.rpcAddress);
}

wire::Gate::Client makeGate(std::string fleetKey, PeerFactory factory)
{
    return kj::heap<GateServer>(std::move(fleetKey), std::move(factory));
}

kj::Promise<wire::Peer::Client> authenticatePeer(wire::Gate::Client gate, std::string fleetKey,
                                                 PeerIdentity self)
{
    const std::string nonce = makeNonce();
    auto request = gate.helloRequest();
    request.setNonce(toData(nonce));
    writeIdentity(self, request.initSelf());
    return request.send().then(
        [nonce, key = std::move(fleetKey), self = std::move(self)](auto &&response) {
            const std::string serverNonce = toString(response.getNonce());
            const std::string expected = handshakeProof(key, "gate", nonce, serverNonce, self);
            KJ_REQUIRE(isEqualConstantTime(toString(response.getProof()), expected),
                       "the other instance does not know the fleet key");
            auto enter = response.getDoor().enterRequest();
            const std::string proof = handshakeProof(key, "door", nonce, serverNonce, self);
            enter.setProof(toData(proof));
            return enter.send().then(
                [](auto &&entered) -> wire::Peer::Client { return entered.getPeer(); });
        });
}

} // namespace egretmount::rpc
