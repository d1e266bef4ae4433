// Protects a call that must not run twice: the witness grants a permit once, or voids the ticket
// permanently.

#include <iostream>

#include <egretmount/runonce/witness.h>

int main()
{
    using namespace egretmount;
    using namespace egretmount::literals;
    runonce::WitnessState witness;
    witness.self = { InstanceId("entry-2"), 20 };
    runonce::Ticket ticket;
    ticket.issuer = { InstanceId("entry-1"), 10 };
    ticket.sequence = 1;
    ticket.witness = witness.self;
    ticket.lifetime = 60'000_ms;

    const runonce::WitnessAnswer first = runonce::requestPermit(witness, ticket, 1_ms);
    const runonce::WitnessAnswer again = runonce::requestPermit(witness, ticket, 2_ms);
    std::cout << "granted once: " << (first == runonce::WitnessAnswer::Granted) << '\n'
              << "granted twice: " << (again == runonce::WitnessAnswer::Granted) << '\n';

    ticket.sequence = 2;
    const runonce::WitnessAnswer voided = runonce::voidTicket(witness, ticket, 3_ms);
    const runonce::WitnessAnswer late = runonce::requestPermit(witness, ticket, 4_ms);
    std::cout << "voided: " << (voided == runonce::WitnessAnswer::Voided) << '\n'
              << "granted after the void: " << (late == runonce::WitnessAnswer::Granted) << '\n';
}
