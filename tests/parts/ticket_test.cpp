#include <doctest/doctest.h>

#include <egretmount/runonce/issuer.h>
#include <egretmount/runonce/ticket.h>
#include <egretmount/runonce/witness.h>

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::runonce;

namespace {

const InstanceRun issuerRun { InstanceId("entry-0"), 7 };
const InstanceRun witnessRun { InstanceId("entry-1"), 9 };

IssuerState makeIssuer()
{
    IssuerState state;
    state.self = issuerRun;
    state.lifetime = 60'000_ms;
    return state;
}

Ticket issue(IssuerState &state, Milliseconds now = 0_ms)
{
    return *issueTicket(state, TeamId("team; one%"), ServiceId("app"), witnessRun, now);
}

Result<CallResponse> responseOf(const std::string &body)
{
    return CallResponse { 200, "text/plain", body, TargetId("t") };
}

} // namespace

TEST_CASE("decoding restores an encoded ticket and rejects any changed text or other key")
{
    IssuerState issuer = makeIssuer();
    const Ticket ticket = issue(issuer);
    const std::string text = encodeTicket(ticket, "key");
    const Result<Ticket> read = decodeTicket(text, "key");
    REQUIRE(read);
    CHECK(read->issuer == issuerRun);
    CHECK(read->witness == witnessRun);
    CHECK(read->team == ticket.team);
    CHECK(read->expiry == ticket.expiry);
    CHECK(!decodeTicket(text, "another key"));
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string forged = text;
        forged[i] = forged[i] == '1' ? '2' : '1';
        CHECK(!decodeTicket(forged, "key"));
        CHECK(!decodeTicket(text.substr(0, i), "key"));
    }
    CHECK(decodeTicket("", "key").error().verdict == Verdict::NotRun);
}

TEST_CASE("a ticket starts one execution; retries join it or get its response")
{
    IssuerState issuer = makeIssuer();
    const Ticket ticket = issue(issuer);
    CHECK(begin(issuer, ticket, 5, 1_ms).kind == BeginKind::Start);
    CHECK(begin(issuer, ticket, 5, 2_ms).kind == BeginKind::Join);
    const BeginDecision other = begin(issuer, ticket, 6, 2_ms);
    REQUIRE(other.kind == BeginKind::Stored);
    CHECK(other.result.error().id == ErrorId::TicketInvalid);
    CHECK(other.result.error().verdict == Verdict::MayHaveRun);
    finish(issuer, ticket.sequence, responseOf("paid"), 3_ms);
    finish(issuer, ticket.sequence, fail(ErrorId::TargetFailed, Verdict::NotRun, "late"), 4_ms);
    const BeginDecision again = begin(issuer, ticket, 5, 50'000_ms);
    REQUIRE(again.kind == BeginKind::Stored);
    CHECK(again.result->body == "paid");
}

TEST_CASE("an expired ticket is refused: 'not run' if known unused, else 'may have run'")
{
    IssuerState issuer = makeIssuer();
    const Ticket unused = issue(issuer);
    const Ticket used = issue(issuer);
    begin(issuer, used, 1, 0_ms);
    CHECK(begin(issuer, unused, 1, 60'000_ms).result.error().verdict == Verdict::NotRun);
    expireTickets(issuer, 1'000'000_ms);
    CHECK(issuer.records.size() == 1); // only the record of the running call
    const BeginDecision forgotten = begin(issuer, unused, 1, 1'000'000_ms);
    CHECK(forgotten.result.error().id == ErrorId::TicketExpired);
    CHECK(forgotten.result.error().verdict == Verdict::MayHaveRun);
}

TEST_CASE("a permit is valid only if requested, granted, in time and not used before")
{
    IssuerState issuer = makeIssuer();
    const Ticket ticket = issue(issuer);
    CHECK(!onWitnessAnswer(issuer, ticket.sequence, WitnessAnswer::Granted, 0_ms));
    begin(issuer, ticket, 1, 0_ms);
    onPermitRequested(issuer, ticket.sequence, 10_ms);
    CHECK(!onWitnessAnswer(issuer, ticket.sequence, WitnessAnswer::AlreadyPermitted, 11_ms));
    CHECK(
        !onWitnessAnswer(issuer, ticket.sequence, WitnessAnswer::Granted, 10_ms + permitValidity));
    CHECK(onWitnessAnswer(issuer, ticket.sequence, WitnessAnswer::Granted, 11_ms));
    CHECK(!onWitnessAnswer(issuer, ticket.sequence, WitnessAnswer::Granted, 12_ms));
}

TEST_CASE("an issuer bounds the number of open tickets and the size of stored responses")
{
    IssuerState issuer = makeIssuer();
    const std::string body(maxStoredBytes / 2, 'x');
    for (int i = 0; i < 3; ++i) {
        const Ticket ticket = issue(issuer);
        begin(issuer, ticket, 1, 0_ms);
        finish(issuer, ticket.sequence, responseOf(body), 0_ms);
    }
    CHECK(issuer.storedBytes <= maxStoredBytes);
    CHECK(issuer.records.at(1).result->error().verdict == Verdict::Ran);
    while (issuer.records.size() < maxOpenTickets)
        issue(issuer);
    CHECK(!issueTicket(issuer, TeamId("a"), ServiceId("b"), witnessRun, 0_ms));
}

TEST_CASE("a witness permits or voids a ticket once and answers 'unknown' after eviction")
{
    WitnessState witness;
    witness.self = witnessRun;
    IssuerState issuer = makeIssuer();
    const Ticket first = issue(issuer);
    const Ticket second = issue(issuer);
    const Ticket third = issue(issuer);
    CHECK(requestPermit(witness, first, 0_ms) == WitnessAnswer::Granted);
    CHECK(requestPermit(witness, first, 0_ms) == WitnessAnswer::AlreadyPermitted);
    CHECK(voidTicket(witness, first, 0_ms) == WitnessAnswer::AlreadyPermitted);
    CHECK(voidTicket(witness, second, 0_ms) == WitnessAnswer::Voided);
    CHECK(requestPermit(witness, second, 0_ms) == WitnessAnswer::Voided);
    expireRecords(witness, 60'000_ms);
    CHECK(witness.records.empty());
    CHECK(requestPermit(witness, second, 60'000_ms) == WitnessAnswer::Unknown);
    CHECK(voidTicket(witness, first, 60'000_ms) == WitnessAnswer::Unknown);
    CHECK(requestPermit(witness, third, 60'000_ms) == WitnessAnswer::Granted);
    witness.self.incarnation = 10;
    CHECK(voidTicket(witness, third, 60'000_ms) == WitnessAnswer::Unknown);
}

TEST_CASE("a witness bounds its watermarks and gives no permit for dropped ones")
{
    WitnessState witness;
    witness.self = witnessRun;
    Ticket ticket;
    ticket.witness = witnessRun;
    ticket.lifetime = 10_ms;
    for (std::uint64_t i = 1; i <= 2 * maxWatermarks; ++i) {
        ticket.issuer = { InstanceId("entry-" + std::to_string(i)), i };
        ticket.sequence = 1;
        CHECK(voidTicket(witness, ticket, 0_ms) == WitnessAnswer::Voided);
    }
    expireRecords(witness, 10_ms);
    CHECK(witness.watermarks.size() == maxWatermarks);
    ticket.issuer = { InstanceId("entry-1"), 1 };
    CHECK(requestPermit(witness, ticket, 20_ms) == WitnessAnswer::Unknown);
}
