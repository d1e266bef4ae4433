#include <egretmount/runonce/issuer.h>

#include <algorithm>

namespace egretmount::runonce {

namespace {

constexpr Milliseconds overloadRetryAfter = Milliseconds(1'000);

BeginDecision storedResult(Result<CallResponse> result)
{
    return { BeginKind::Stored, std::move(result) };
}

Verdict verdictOf(const CallRecord &record)
{
    if (!record.result)
        return Verdict::MayHaveRun;
    return *record.result ? Verdict::Ran : record.result->error().verdict;
}

// Drops a stored response. The remaining error result keeps the verdict that the call ran.
void dropBody(IssuerState &state, CallRecord &record)
{
    state.storedBytes -= (*record.result)->body.size();
    record.result = fail(ErrorId::TicketExpired, Verdict::Ran, "the answer is no longer kept");
}

// Drops the responses of the oldest tickets until the rest fits into `maxStoredBytes`.
void trimResponses(IssuerState &state)
{
    for (auto entry = state.records.begin();
         entry != state.records.end() && state.storedBytes > maxStoredBytes; ++entry) {
        CallRecord &record = entry->second;
        if (record.result && *record.result)
            dropBody(state, record);
    }
}

} // namespace

Result<Ticket> issueTicket(IssuerState &state, const TeamId &team, const ServiceId &service,
                           const InstanceRun &witness, Milliseconds now)
{
    if (state.records.size() >= maxOpenTickets)
        return fail(ErrorId::Overloaded, Verdict::NotRun, "too many tickets are open",
                    overloadRetryAfter);
    Ticket ticket { state.self, ++state.lastSequence, team,          service,
                    witness,    now + state.lifetime, state.lifetime };
    CallRecord record;
    record.expiry = ticket.expiry;
    record.evictAt = ticket.expiry + minResultRetention;
    state.records.emplace(ticket.sequence, record);
    return ticket;
}

BeginDecision begin(IssuerState &state, const Ticket &ticket, std::uint64_t fingerprint,
                    Milliseconds now)
{
    const auto found = state.records.find(ticket.sequence);
    if (found == state.records.end())
        return storedResult(fail(ErrorId::TicketExpired, Verdict::MayHaveRun,
                                 "the ticket expired long ago; what became of it is forgotten"));
    CallRecord &record = found->second;
    if (record.phase == CallPhase::Issued && now >= record.expiry) {
        finish(state, ticket.sequence,
               fail(ErrorId::TicketExpired, Verdict::NotRun, "the ticket expired unused"), now);
        return storedResult(*record.result);
    }
    if (record.phase == CallPhase::Issued) {
        record.phase = CallPhase::Running;
        record.fingerprint = fingerprint;
        return { BeginKind::Start, {} };
    }
    if (record.fingerprint != fingerprint && record.fingerprint != 0)
        return storedResult(fail(ErrorId::TicketInvalid, verdictOf(record),
                                 "the ticket was used for another call"));
    if (record.result)
        return storedResult(*record.result);
    return { BeginKind::Join, {} };
}

void onPermitRequested(IssuerState &state, std::uint64_t sequence, Milliseconds now)
{
    const auto found = state.records.find(sequence);
    if (found == state.records.end() || found->second.phase != CallPhase::Running)
        return;
    found->second.phase = CallPhase::AwaitingPermit;
    found->second.permitRequestedAt = now;
}

std::optional<Milliseconds> onWitnessAnswer(IssuerState &state, std::uint64_t sequence,
                                            WitnessAnswer answer, Milliseconds now)
{
    const auto found = state.records.find(sequence);
    if (found == state.records.end() || found->second.phase != CallPhase::AwaitingPermit)
        return std::nullopt;
    const Milliseconds validUntil =
        std::min(found->second.permitRequestedAt + permitValidity, found->second.expiry);
    if (answer != WitnessAnswer::Granted || now >= validUntil)
        return std::nullopt;
    found->second.phase = CallPhase::Dispatched;
    return validUntil;
}

void finish(IssuerState &state, std::uint64_t sequence, const Result<CallResponse> &result,
            Milliseconds now)
{
    const auto found = state.records.find(sequence);
    if (found == state.records.end() || found->second.phase == CallPhase::Finished)
        return;
    CallRecord &record = found->second;
    record.phase = CallPhase::Finished;
    record.result = result;
    record.evictAt = std::max(record.evictAt, now + minResultRetention);
    if (result)
        state.storedBytes += result->body.size();
    trimResponses(state);
}

void expireTickets(IssuerState &state, Milliseconds now)
{
    for (auto entry = state.records.begin(); entry != state.records.end();) {
        const CallRecord &record = entry->second;
        const bool isIdle =
            record.phase == CallPhase::Issued || record.phase == CallPhase::Finished;
        if (!isIdle || record.evictAt > now) {
            ++entry;
            continue;
        }
        if (record.result && *record.result)
            state.storedBytes -= (*record.result)->body.size();
        entry = state.records.erase(entry);
    }
}

} // namespace egretmount::runonce
