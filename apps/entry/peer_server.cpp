#include "peer_server.h"

#include <kj/debug.h>

#include <egretmount/config/chunks.h>

#include "config_service.h"
#include "credit_service.h"
#include "peer_service.h"
#include "ticket_rpc.h"
#include "ticket_service.h"

namespace egretmount::entry {

namespace {

class PeerServer final : public wire::Peer::Server
{
public:
    PeerServer(kernel::ServiceRegistry &registry, rpc::PeerIdentity caller)
        : m_registry(registry)
        , m_caller(std::move(caller))
    { }

    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        const wire::Heartbeat::Reader beat = context.getParams().getBeat();
        const InstanceRun sender = rpc::readRun(beat.getSender().getRun());
        KJ_REQUIRE(sender == m_caller.run, "a heartbeat in another instance's name");
        PeerService &peers = m_registry.find<PeerService>();
        peers.takeHeartbeat(beat);
        peers.writeHeartbeat(context.getResults().initBeat());
        return kj::READY_NOW;
    }

    kj::Promise<void> document(DocumentContext context) override
    {
        const config::ConfigState &known = m_registry.find<ConfigService>().known();
        if (known.document && known.document->version >= context.getParams().getVersion())
            context.getResults().setText(known.text);
        return kj::READY_NOW;
    }

    kj::Promise<void> changedSections(ChangedSectionsContext context) override
    {
        const config::ConfigState &known = m_registry.find<ConfigService>().known();
        if (!known.document)
            return kj::READY_NOW;
        std::vector<std::uint64_t> have;
        for (const wire::SectionDigest::Reader section : context.getParams().getHave())
            have.push_back(section.getHash());
        const config::DocumentDelta update = config::makeDelta(known.text, std::move(have));
        ChangedSectionsResults::Builder results = context.getResults();
        const Digest &digest = known.document->digest;
        results.setVersion(known.document->version);
        results.setDigest(kj::arrayPtr(digest.data(), digest.size()));
        writeUpdate(update, results);
        return kj::READY_NOW;
    }

    kj::Promise<void> requestPermit(RequestPermitContext context) override
    {
        const runonce::Ticket ticket = readTicket(context.getParams().getTicket());
        KJ_REQUIRE(ticket.issuer == m_caller.run, "only the issuer may ask for a permit");
        const runonce::WitnessAnswer answer = m_registry.find<TicketService>().answerPermit(ticket);
        context.getResults().setAnswer(toWire(answer));
        return kj::READY_NOW;
    }

    kj::Promise<void> voidTicket(VoidTicketContext context) override
    {
        const runonce::Ticket ticket = readTicket(context.getParams().getTicket());
        const runonce::WitnessAnswer answer = m_registry.find<TicketService>().answerVoid(ticket);
        context.getResults().setAnswer(toWire(answer));
        return kj::READY_NOW;
    }

    kj::Promise<void> requestCredit(RequestCreditContext context) override
    {
        m_registry.find<CreditService>().answerCredit(
            m_caller.run, context.getParams().getRequest(), context.getResults().initGrant());
        return kj::READY_NOW;
    }

    kj::Promise<void> returnCredit(ReturnCreditContext context) override
    {
        m_registry.find<CreditService>().answerReturn(m_caller.run, context.getParams().getDone());
        return kj::READY_NOW;
    }

    kj::Promise<void> requestLease(RequestLeaseContext context) override
    {
        m_registry.find<CreditService>().answerLease(m_caller.run, context.getParams().getRequest(),
                                                     context.getResults().initReply());
        return kj::READY_NOW;
    }

private:
    static void writeUpdate(const config::DocumentDelta &update,
                            ChangedSectionsResults::Builder results)
    {
        unsigned int index = 0;
        capnp::List<std::uint64_t>::Builder chunkHashes =
            results.initOrder(static_cast<unsigned int>(update.chunkHashes.size()));
        for (const std::uint64_t hash : update.chunkHashes)
            chunkHashes.set(index++, hash);
        index = 0;
        capnp::List<wire::SectionText>::Builder missingChunks =
            results.initChanged(static_cast<unsigned int>(update.missingChunks.size()));
        for (const std::string &text : update.missingChunks)
            missingChunks[index++].setText(text);
    }

    kernel::ServiceRegistry &m_registry;
    rpc::PeerIdentity m_caller;
};

} // namespace

wire::Peer::Client makePeerServer(kernel::ServiceRegistry &registry,
                                  const rpc::PeerIdentity &caller)
{
    return kj::heap<PeerServer>(registry, caller);
}

} // namespace egretmount::entry
