# Protocol between the instances of the system.
#
# A connection starts with a mutual proof of the fleet key: each side signs the other's nonce, and the
# `Peer` capability is handed out only after the proof. Nonces are fresh for every connection, so a
# recorded handshake is of no use to a third party.
@0xd4c3f7b1a9e26058;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("egretmount::wire");

struct InstanceRun {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Identity {
  run @0 :InstanceRun;
  zone @1 :Text;
  httpAddress @2 :Text;
  rpcAddress @3 :Text;
}

interface Gate {
  # Bootstrap capability of every instance.
  hello @0 (nonce :Data, self :Identity) -> (nonce :Data, proof :Data, door :Door);
}

interface Door {
  enter @0 (proof :Data) -> (peer :Peer);
}

struct Heartbeat {
  # Sent every heartbeat interval; the answer is the heartbeat of the receiver.
  sender @0 :Identity;
  configVersion @1 :UInt64;
  configDigest @2 :Data;
  isDraining @3 :Bool;
  suspects @4 :List(InstanceRun);
  # Instances that the sender cannot reach.
  platformAgeMs @5 :Int64 = -1;
  # Time since some instance is known to have read the platform; below zero: not known.
  claims @6 :List(PeerClaim);
  # What instances say of others; passed on, as no instance hears all others itself.
}

struct PeerClaim {
  # One instance's word on another one that it exchanges heartbeats with.
  reporter @0 :InstanceRun;
  subject @1 :InstanceRun;
  ageMs @2 :Int64;
  isDraining @3 :Bool;
  # True: the subject leaves. False: the subject is silent.
}

struct SectionDigest {
  # Name and hash of one group of sections of the fleet document.
  name @0 :Text;
  hash @1 :UInt64;
}

struct SectionText {
  name @0 :Text;
  text @1 :Text;
}

struct CreditRequest {
  # Borrows capacity of a target for one request, up to the end of that request.
  borrower @0 :InstanceRun;
  number @1 :UInt64;
  # Counts the requests of this incarnation; a grant answers exactly one number.
  target @2 :Text;
  tokens @3 :Int64;
  slots @4 :Int64;
  holdMs @5 :Int64;
  # Time until the borrowed capacity is surely unused: the request's deadline and a margin.
  wantsCold @6 :Bool;
  # True: the borrower's view is that the target is cold.
}

struct CreditGrant {
  number @0 :UInt64;
  isGranted @1 :Bool;
  tokens @2 :Int64;
  slots @3 :Int64;
  holder @4 :Text;
  # If not granted: the instance to ask instead, or empty.
}

struct CreditReturn {
  borrower @0 :InstanceRun;
  number @1 :UInt64;
  target @2 :Text;
}

struct LeaseRequest {
  # Asks for, or gives back, the lease on a cold target.
  holder @0 :InstanceRun;
  number @1 :UInt64;
  target @2 :Text;
  lengthMs @3 :Int64;
  isRelease @4 :Bool;
}

struct LeaseReply {
  number @0 :UInt64;
  granter @1 :InstanceRun;
  isGranted @2 :Bool;
  heldBy @3 :Text;
  # If not granted: the present holder, or empty.
}

struct Ticket {
  issuer @0 :InstanceRun;
  sequence @1 :UInt64;
  team @2 :Text;
  service @3 :Text;
  witness @4 :InstanceRun;
  expiryMs @5 :Int64;
  # On the issuer's monotonic clock; only the issuer compares it.
  lifetimeMs @6 :Int64;
  # Time from issue to expiry; the witness remembers the ticket that long after its first answer.
}

enum WitnessAnswer {
  granted @0;
  voided @1;
  alreadyPermitted @2;
  unknown @3;
  # The witness restarted since the ticket was made, or is not the ticket's witness.
}

interface Peer {
  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  document @1 (version :UInt64) -> (text :Text);
  # The whole fleet document in force, if its version is at least `version`; else empty.
  changedSections @2 (have :List(SectionDigest)) -> (version :UInt64, digest :Data, changed :List(SectionText), removed :List(Text), order :List(UInt64));
  # The receiver's chunks of the document in order, and the text of those that the caller lacks.
  requestCredit @3 (request :CreditRequest) -> (grant :CreditGrant);
  returnCredit @4 (done :CreditReturn);
  requestLease @5 (request :LeaseRequest) -> (reply :LeaseReply);
  requestPermit @6 (ticket :Ticket) -> (answer :WitnessAnswer);
  voidTicket @7 (ticket :Ticket) -> (answer :WitnessAnswer);
}
