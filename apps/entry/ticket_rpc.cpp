#include "ticket_rpc.h"

#include "rpc/gate.h"

namespace egretmount::entry {

runonce::Ticket readTicket(wire::Ticket::Reader reader)
{
    runonce::Ticket ticket;
    ticket.issuer = rpc::readRun(reader.getIssuer());
    ticket.sequence = reader.getSequence();
    ticket.team = TeamId(reader.getTeam().cStr());
    ticket.service = ServiceId(reader.getService().cStr());
    ticket.witness = rpc::readRun(reader.getWitness());
    ticket.expiry = Milliseconds(reader.getExpiryMs());
    ticket.lifetime = Milliseconds(reader.getLifetimeMs());
    return ticket;
}

void writeTicket(const runonce::Ticket &ticket, wire::Ticket::Builder builder)
{
    rpc::writeRun(ticket.issuer, builder.initIssuer());
    builder.setSequence(ticket.sequence);
    builder.setTeam(ticket.team.value);
    builder.setService(ticket.service.value);
    rpc::writeRun(ticket.witness, builder.initWitness());
    builder.setExpiryMs(ticket.expiry.count());
    builder.setLifetimeMs(ticket.lifetime.count());
}

runonce::WitnessAnswer fromWire(wire::WitnessAnswer answer)
{
    switch (answer) {
    case wire::WitnessAnswer::GRANTED:
        return runonce::WitnessAnswer::Granted;
    case wire::WitnessAnswer::VOIDED:
        return runonce::WitnessAnswer::Voided;
    case wire::WitnessAnswer::ALREADY_PERMITTED:
        return runonce::WitnessAnswer::AlreadyPermitted;
    case wire::WitnessAnswer::UNKNOWN:
        break;
    }
    return runonce::WitnessAnswer::Unknown;
}

wire::WitnessAnswer toWire(runonce::WitnessAnswer answer)
{
    switch (answer) {
    case runonce::WitnessAnswer::Granted:
        return wire::WitnessAnswer::GRANTED;
    case runonce::WitnessAnswer::Voided:
        return wire::WitnessAnswer::VOIDED;
    case runonce::WitnessAnswer::AlreadyPermitted:
        return wire::WitnessAnswer::ALREADY_PERMITTED;
    case runonce::WitnessAnswer::Unknown:
        break;
    }
    return wire::WitnessAnswer::UNKNOWN;
}

} // namespace egretmount::entry
