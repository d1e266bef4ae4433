#include "peer_messages.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <capnp/serialize-packed.h>

namespace egretmount::node {

namespace {

using limits::CauseKind;

// In messages, the rank of a request of an earlier version has the greatest number.
constexpr std::uint8_t unknownRankField = std::numeric_limits<std::uint8_t>::max();

std::uint8_t rankField(int rank)
{
    return rank >= 0 && rank < unknownRankField ? static_cast<std::uint8_t>(rank)
                                                : unknownRankField;
}

int rankOfField(std::uint8_t field)
{
    return field == unknownRankField ? placement::unknownRank : field;
}

void writeInFlight(wire::InFlightRequest::Builder out, const placement::InFlightRequest &request,
                   Milliseconds now)
{
    out.setId(request.id);
    capnp::List<std::uint64_t>::Builder engines = out.initEngines(request.engines.size());
    for (unsigned i = 0; i < request.engines.size(); ++i)
        engines.set(i, request.engines[i]);
    // Trailing zeros are omitted; the receiver treats missing entries as zero.
    std::size_t memoryCount = request.memory.size();
    while (memoryCount > 0 && request.memory[memoryCount - 1] == 0)
        --memoryCount;
    capnp::List<std::uint32_t>::Builder memory = out.initMemory(static_cast<unsigned>(memoryCount));
    for (unsigned i = 0; i < memoryCount; ++i)
        memory.set(i, static_cast<std::uint32_t>(request.memory[i]));
    out.setPromptTokens(static_cast<std::uint32_t>(request.promptTokens));
    out.setPartMs(static_cast<float>(request.shardPrefillMs));
    out.setWeight(static_cast<float>(request.weight));
    out.setPauseTargetMs(static_cast<std::uint32_t>(request.eventGapTarget.count()));
    out.setAgeMs(static_cast<std::uint32_t>((now - request.placedAt).count()));
    out.setLifeMs(
        static_cast<std::uint32_t>(std::max<std::int64_t>((request.expiresAt - now).count(), 0)));
    out.setIsWriting(request.isDecoding);
    out.setIsShort(request.isShort);
    out.setIsCellLocal(request.isCellLocal);
    out.setLatencyTargetMs(static_cast<std::uint32_t>(request.latencyTarget.count()));
    out.setDueInMs(static_cast<std::int32_t>((request.dueAt - now).count()));
    out.setRank(rankField(request.rank));
    out.setTeam(request.team);
}

void writeQueued(wire::QueuedRequest::Builder out, const placement::QueuedRequest &queued,
                 Milliseconds now)
{
    out.setId(queued.id);
    out.setReadingMs(static_cast<float>(queued.prefillMs));
    out.setTurnInMs(static_cast<std::int32_t>((queued.virtualArrival - now).count()));
    out.setRank(rankField(queued.rank));
    out.setTeam(queued.team);
    out.setLifeMs(
        static_cast<std::uint32_t>(std::max<std::int64_t>((queued.expiresAt - now).count(), 0)));
}

template<typename Causes>
std::vector<std::uint64_t> idsOf(const Causes &causes, CauseKind kind)
{
    std::vector<std::uint64_t> ids;
    for (const limits::Cause &cause : causes) {
        if (cause.kind == kind)
            ids.push_back(cause.id);
    }
    return ids;
}

kj::ArrayPtr<const std::uint64_t> listOf(const std::vector<std::uint64_t> &ids)
{
    return kj::arrayPtr(ids.data(), ids.size());
}

} // namespace

std::uint32_t durationField(Milliseconds duration)
{
    constexpr std::int64_t greatest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, greatest));
}

// The packed encoding removes zero bytes, which are frequent in these messages; traffic between
// availability zones is paid for by the byte.
std::string serializePacked(capnp::MallocMessageBuilder &builder)
{
    kj::VectorOutputStream output;
    capnp::writePackedMessage(output, builder);
    const kj::ArrayPtr<const kj::byte> bytes = output.getArray();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

placement::QueuedRequest readQueued(wire::QueuedRequest::Reader in, const std::string &owner,
                                    Milliseconds now)
{
    placement::QueuedRequest queued;
    queued.id = in.getId();
    queued.owner = owner;
    queued.prefillMs = in.getReadingMs();
    queued.virtualArrival = now + Milliseconds(in.getTurnInMs());
    queued.rank = rankOfField(in.getRank());
    queued.team = in.getTeam();
    queued.expiresAt = now + Milliseconds(in.getLifeMs());
    return queued;
}

placement::InFlightRequest readInFlight(wire::InFlightRequest::Reader in, const std::string &owner,
                                        Milliseconds now)
{
    placement::InFlightRequest request;
    request.id = in.getId();
    request.owner = owner;
    for (const std::uint64_t engine : in.getEngines())
        request.engines.push_back(engine);
    for (const std::uint32_t tokens : in.getMemory())
        request.memory.push_back(tokens);
    request.promptTokens = in.getPromptTokens();
    request.shardPrefillMs = in.getPartMs();
    request.weight = in.getWeight();
    request.eventGapTarget = Milliseconds(in.getPauseTargetMs());
    request.placedAt = now - Milliseconds(in.getAgeMs());
    request.expiresAt = now + Milliseconds(in.getLifeMs());
    request.isDecoding = in.getIsWriting();
    request.isShort = in.getIsShort();
    request.isCellLocal = in.getIsCellLocal();
    request.latencyTarget = Milliseconds(in.getLatencyTargetMs());
    request.dueAt = now + Milliseconds(in.getDueInMs());
    request.rank = rankOfField(in.getRank());
    request.team = in.getTeam();
    return request;
}

void writeMembers(wire::PeerMessage::Builder message,
                  const std::vector<membership::MemberRecord> &records)
{
    capnp::List<wire::MemberRecord>::Builder members = message.initRoster(records.size());
    for (unsigned i = 0; i < records.size(); ++i) {
        members[i].setHost(records[i].host);
        members[i].setIncarnation(records[i].incarnation);
        members[i].setVersion(records[i].version);
        members[i].setIsLeaving(records[i].isLeaving);
        members[i].setIsLost(records[i].isLost);
        members[i].setCapacity(static_cast<std::uint16_t>(
            std::lround(records[i].capacity / instance::capacityResolution)));
    }
}

std::vector<membership::MemberRecord> readMembers(wire::PeerMessage::Reader message)
{
    std::vector<membership::MemberRecord> records;
    for (const wire::MemberRecord::Reader record : message.getRoster())
        records.push_back({ record.getHost(), record.getIncarnation(), record.getVersion(),
                            record.getIsLeaving(), record.getIsLost(),
                            record.getCapacity() * instance::capacityResolution });
    return records;
}

void writeSuspicions(wire::PeerMessage::Builder message,
                     const std::vector<membership::Suspicion> &suspicions)
{
    capnp::List<wire::Suspicion>::Builder list = message.initSilent(suspicions.size());
    for (unsigned i = 0; i < suspicions.size(); ++i) {
        list[i].setHost(suspicions[i].host);
        list[i].setIncarnation(suspicions[i].incarnation);
        list[i].setVersion(suspicions[i].version);
    }
}

std::vector<membership::Suspicion> readSuspicions(wire::PeerMessage::Reader message)
{
    std::vector<membership::Suspicion> suspicions;
    for (const wire::Suspicion::Reader suspicion : message.getSilent())
        suspicions.push_back(
            { suspicion.getHost(), suspicion.getIncarnation(), suspicion.getVersion() });
    return suspicions;
}

void writeRequests(wire::PeerMessage::Builder message,
                   const std::vector<const placement::InFlightRequest *> &inFlight,
                   const std::vector<const placement::QueuedRequest *> &queued, Milliseconds now)
{
    capnp::List<wire::InFlightRequest>::Builder placed = message.initPlaced(inFlight.size());
    for (unsigned i = 0; i < inFlight.size(); ++i)
        writeInFlight(placed[i], *inFlight[i], now);
    capnp::List<wire::QueuedRequest>::Builder waiting = message.initWaiting(queued.size());
    for (unsigned i = 0; i < queued.size(); ++i)
        writeQueued(waiting[i], *queued[i], now);
}

void writeCrashUpdate(wire::PeerMessage::Builder message, const CrashUpdate &update,
                      Milliseconds now)
{
    if (update.isEmpty())
        return;
    capnp::List<wire::TargetCrash>::Builder crashes = message.initCrashes(update.crashes.size());
    for (unsigned i = 0; i < update.crashes.size(); ++i) {
        const limits::TargetCrash &crash = update.crashes[i];
        crashes[i].setTarget(crash.target);
        crashes[i].setAgeMs(durationField(now - crash.at));
        const std::vector<std::uint64_t> parts = idsOf(crash.causes, CauseKind::PromptPart);
        const std::vector<std::uint64_t> requests = idsOf(crash.causes, CauseKind::Request);
        crashes[i].setParts(listOf(parts));
        crashes[i].setRequests(listOf(requests));
    }
    capnp::List<wire::CauseBlock>::Builder blocked = message.initBlocked(update.blocked.size());
    for (unsigned i = 0; i < update.blocked.size(); ++i) {
        blocked[i].setId(update.blocked[i].cause.id);
        blocked[i].setIsRequest(update.blocked[i].cause.kind == CauseKind::Request);
        blocked[i].setIsTrial(update.blocked[i].block.isTrial);
        blocked[i].setAgeMs(durationField(now - update.blocked[i].block.from));
        blocked[i].setLeftMs(durationField(update.blocked[i].block.until - now));
    }
    const std::vector<std::uint64_t> soundParts = idsOf(update.sound, CauseKind::PromptPart);
    const std::vector<std::uint64_t> soundRequests = idsOf(update.sound, CauseKind::Request);
    message.setSoundParts(listOf(soundParts));
    message.setSoundRequests(listOf(soundRequests));
}

CrashUpdate readCrashUpdate(wire::PeerMessage::Reader message, Milliseconds now)
{
    CrashUpdate update;
    for (const wire::TargetCrash::Reader crash : message.getCrashes()) {
        limits::TargetCrash read { crash.getTarget(), now - Milliseconds(crash.getAgeMs()), {} };
        for (const std::uint64_t id : crash.getParts())
            read.causes.insert({ CauseKind::PromptPart, id });
        for (const std::uint64_t id : crash.getRequests())
            read.causes.insert({ CauseKind::Request, id });
        update.crashes.push_back(std::move(read));
    }
    for (const wire::CauseBlock::Reader blocked : message.getBlocked()) {
        const CauseKind kind = blocked.getIsRequest() ? CauseKind::Request : CauseKind::PromptPart;
        update.blocked.push_back(
            { { kind, blocked.getId() },
              { now - Milliseconds(blocked.getAgeMs()), now + Milliseconds(blocked.getLeftMs()),
                blocked.getIsTrial() } });
    }
    for (const std::uint64_t id : message.getSoundParts())
        update.sound.push_back({ CauseKind::PromptPart, id });
    for (const std::uint64_t id : message.getSoundRequests())
        update.sound.push_back({ CauseKind::Request, id });
    return update;
}

void writeLimits(wire::PeerMessage::Builder message, const std::vector<TargetLimitNews> &limits,
                 Milliseconds now)
{
    if (limits.empty())
        return;
    capnp::List<wire::TargetLimit>::Builder list = message.initLimits(limits.size());
    for (unsigned i = 0; i < limits.size(); ++i) {
        list[i].setTarget(limits[i].target);
        list[i].setStartedAt(limits[i].startedAt);
        list[i].setPerSecond(static_cast<float>(limits[i].perSecond));
        list[i].setAgeMs(durationField(now - limits[i].heardAt));
    }
}

std::vector<TargetLimitNews> readLimits(wire::PeerMessage::Reader message, Milliseconds now)
{
    std::vector<TargetLimitNews> limits;
    for (const wire::TargetLimit::Reader limit : message.getLimits())
        limits.push_back({ limit.getTarget(), limit.getStartedAt(), limit.getPerSecond(),
                           now - Milliseconds(limit.getAgeMs()) });
    return limits;
}

} // namespace egretmount::node
