# Protocol between the instances of the system.
#
# A connection starts with mutual authentication: each side signs the nonces of both sides with the
# fleet key, and the `Peer` capability is granted only after both proofs have been verified. Nonces
# are newly generated for each connection, so a recorded handshake cannot be replayed.
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
  # Sent once per heartbeat interval; the receiver responds with its own heartbeat.
  sender @0 :Identity;
  configVersion @1 :UInt64;
  configDigest @2 :Data;
  isDraining @3 :Bool;
  suspects @4 :List(InstanceRun);
  # Instances that the sender cannot reach.
  platformAgeMs @5 :Int64 = -1;
  # Time since the most recent successful read of the platform by any instance, as far as the sender
  # knows; negative if unknown.
  claims @6 :List(PeerClaim);
  # Reports of instances about others, including forwarded ones: no instance exchanges heartbeats
  # with all others.
}

struct PeerClaim {
  # Report of one instance about another one with which it exchanges heartbeats.
  reporter @0 :InstanceRun;
  subject @1 :InstanceRun;
  ageMs @2 :Int64;
  isDraining @3 :Bool;
  # True: the subject is shutting down. False: no heartbeat arrives from the subject.
}

struct SectionDigest {
  # Name and hash of one group of sections of the fleet document (a chunk).
  name @0 :Text;
  hash @1 :UInt64;
}

struct SectionText {
  name @0 :Text;
  text @1 :Text;
}

struct CreditRequest {
  # Asks to borrow capacity of a target for one request, until the end of that request.
  borrower @0 :InstanceRun;
  number @1 :UInt64;
  # Sequence number of the request within the borrower's incarnation; each grant refers to exactly
  # one number.
  target @2 :Text;
  tokens @3 :Int64;
  slots @4 :Int64;
  holdMs @5 :Int64;
  # Time after which the borrowed capacity is certainly unused: the time to the deadline of the
  # request plus a margin.
  wantsCold @6 :Bool;
  # True if the borrower considers the target cold.
}

struct CreditGrant {
  number @0 :UInt64;
  isGranted @1 :Bool;
  tokens @2 :Int64;
  slots @3 :Int64;
  holder @4 :Text;
  # If not granted: the instance to which to send the request instead, or empty.
}

struct CreditReturn {
  borrower @0 :InstanceRun;
  number @1 :UInt64;
  target @2 :Text;
}

struct LeaseRequest {
  # Requests or releases the lease on a cold target.
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
  # If not granted: the current holder, or empty.
}

struct Ticket {
  issuer @0 :InstanceRun;
  sequence @1 :UInt64;
  team @2 :Text;
  service @3 :Text;
  witness @4 :InstanceRun;
  expiryMs @5 :Int64;
  # Time on the issuer's monotonic clock; only the issuer can compare it.
  lifetimeMs @6 :Int64;
  # Time from issue to expiry; the witness stores the ticket for this long after its first response.
}

enum WitnessAnswer {
  granted @0;
  voided @1;
  alreadyPermitted @2;
  unknown @3;
  # The witness has restarted since the ticket was issued, or is not the witness of this ticket.
}

interface Peer {
  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  document @1 (version :UInt64) -> (text :Text);
  # Returns the complete active fleet document if its version is at least `version`, else an empty
  # text.
  changedSections @2 (have :List(SectionDigest)) -> (version :UInt64, digest :Data, changed :List(SectionText), removed :List(Text), order :List(UInt64));
  # Returns the hashes of the chunks of the receiver's document in document order, and the text of
  # those chunks that the caller lacks.
  requestCredit @3 (request :CreditRequest) -> (grant :CreditGrant);
  returnCredit @4 (done :CreditReturn);
  requestLease @5 (request :LeaseRequest) -> (reply :LeaseReply);
  requestPermit @6 (ticket :Ticket) -> (answer :WitnessAnswer);
  voidTicket @7 (ticket :Ticket) -> (answer :WitnessAnswer);
}
