#include "peer_messages.h"

#include <algorithm>

#include <capnp/serialize-packed.h>

namespace egretmount::node {

namespace {

void writeWork(wire::PlacedWork::Builder out, const placement::Work &work, Milliseconds now)
{
    out.setId(work.id);
    capnp::List<std::uint64_t>::Builder engines = out.initEngines(work.engines.size());
    for (unsigned i = 0; i < work.engines.size(); ++i)
        engines.set(i, work.engines[i]);
    std::size_t held = work.memory.size();
    while (held > 0 && work.memory[held - 1] == 0)
        --held;
    capnp::List<std::uint32_t>::Builder memory = out.initMemory(static_cast<unsigned>(held));
    for (unsigned i = 0; i < held; ++i)
        memory.set(i, static_cast<std::uint32_t>(work.memory[i]));
    out.setPromptTokens(static_cast<std::uint32_t>(work.promptTokens));
    out.setPartMs(static_cast<float>(work.partMs));
    out.setWeight(static_cast<float>(work.weight));
    out.setPauseTargetMs(static_cast<std::uint32_t>(work.pauseTarget.count()));
    out.setAgeMs(static_cast<std::uint32_t>((now - work.placedAt).count()));
    out.setLifeMs(
        static_cast<std::uint32_t>(std::max<std::int64_t>((work.expiresAt - now).count(), 0)));
    out.setIsWriting(work.isWriting);
    out.setIsShort(work.isShort);
    out.setLatencyTargetMs(static_cast<std::uint32_t>(work.latencyTarget.count()));
    out.setDueInMs(static_cast<std::int32_t>((work.dueAt - now).count()));
}

void writeWaiting(wire::WaitingWork::Builder out, const placement::WaitingWork &waiting,
                  Milliseconds now)
{
    out.setId(waiting.id);
    out.setReadingMs(static_cast<float>(waiting.readingMs));
    out.setTurnInMs(static_cast<std::int32_t>((waiting.turn - now).count()));
    out.setLifeMs(
        static_cast<std::uint32_t>(std::max<std::int64_t>((waiting.expiresAt - now).count(), 0)));
}

} // namespace

// Packed: most words of a message are partly zero, and bytes between zones are paid for.
std::string serialized(capnp::MallocMessageBuilder &message)
{
    kj::VectorOutputStream output;
    capnp::writePackedMessage(output, message);
    const kj::ArrayPtr<const kj::byte> bytes = output.getArray();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

placement::WaitingWork readWaiting(wire::WaitingWork::Reader in, const std::string &owner,
                                   Milliseconds now)
{
    placement::WaitingWork waiting;
    waiting.id = in.getId();
    waiting.owner = owner;
    waiting.readingMs = in.getReadingMs();
    waiting.turn = now + Milliseconds(in.getTurnInMs());
    waiting.expiresAt = now + Milliseconds(in.getLifeMs());
    return waiting;
}

placement::Work readWork(wire::PlacedWork::Reader in, const std::string &owner, Milliseconds now)
{
    placement::Work work;
    work.id = in.getId();
    work.owner = owner;
    for (const std::uint64_t engine : in.getEngines())
        work.engines.push_back(engine);
    for (const std::uint32_t tokens : in.getMemory())
        work.memory.push_back(tokens);
    work.promptTokens = in.getPromptTokens();
    work.partMs = in.getPartMs();
    work.weight = in.getWeight();
    work.pauseTarget = Milliseconds(in.getPauseTargetMs());
    work.placedAt = now - Milliseconds(in.getAgeMs());
    work.expiresAt = now + Milliseconds(in.getLifeMs());
    work.isWriting = in.getIsWriting();
    work.isShort = in.getIsShort();
    work.latencyTarget = Milliseconds(in.getLatencyTargetMs());
    work.dueAt = now + Milliseconds(in.getDueInMs());
    return work;
}

void writeRoster(wire::News::Builder news, const std::vector<membership::MemberRecord> &entries)
{
    capnp::List<wire::RosterEntry>::Builder roster = news.initRoster(entries.size());
    for (unsigned i = 0; i < entries.size(); ++i) {
        roster[i].setHost(entries[i].host);
        roster[i].setIncarnation(entries[i].incarnation);
        roster[i].setVersion(entries[i].version);
        roster[i].setIsLeaving(entries[i].isLeaving);
        roster[i].setIsLost(entries[i].isLost);
    }
}

std::vector<membership::MemberRecord> readRoster(wire::News::Reader news)
{
    std::vector<membership::MemberRecord> entries;
    for (const wire::RosterEntry::Reader entry : news.getRoster())
        entries.push_back({ entry.getHost(), entry.getIncarnation(), entry.getVersion(),
                            entry.getIsLeaving(), entry.getIsLost() });
    return entries;
}

void writeClaims(wire::News::Builder news, const std::vector<membership::Suspicion> &claims)
{
    capnp::List<wire::SilenceClaim>::Builder silent = news.initSilent(claims.size());
    for (unsigned i = 0; i < claims.size(); ++i) {
        silent[i].setHost(claims[i].host);
        silent[i].setIncarnation(claims[i].incarnation);
        silent[i].setVersion(claims[i].version);
    }
}

std::vector<membership::Suspicion> readClaims(wire::News::Reader news)
{
    std::vector<membership::Suspicion> claims;
    for (const wire::SilenceClaim::Reader claim : news.getSilent())
        claims.push_back({ claim.getHost(), claim.getIncarnation(), claim.getVersion() });
    return claims;
}

void writeWorks(wire::News::Builder news, const std::vector<const placement::Work *> &works,
                const std::vector<const placement::WaitingWork *> &waiting, Milliseconds now)
{
    capnp::List<wire::PlacedWork>::Builder placed = news.initPlaced(works.size());
    for (unsigned i = 0; i < works.size(); ++i)
        writeWork(placed[i], *works[i], now);
    capnp::List<wire::WaitingWork>::Builder waits = news.initWaiting(waiting.size());
    for (unsigned i = 0; i < waiting.size(); ++i)
        writeWaiting(waits[i], *waiting[i], now);
}

} // namespace egretmount::node
