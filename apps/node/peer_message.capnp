# What the instances tell each other, one message a datagram.
@0xb7f2c1d85e3a9046;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("egretmount::node::wire");

struct MemberRecord {
  host @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  isLeaving @3 :Bool;
  isLost @4 :Bool;
}

struct Suspicion {
  # The sender hears nothing of this instance at this version.
  host @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
}

struct InFlightRequest {
  id @0 :UInt64;
  engines @1 :List(UInt64);
  # The first one receives the request, the others help to read its prompt.
  promptTokens @2 :UInt32;
  partMs @3 :Float32;
  weight @4 :Float32;
  pauseTargetMs @5 :UInt32;
  ageMs @6 :UInt32;
  # Since it was sent; clocks of instances differ, ages do not.
  lifeMs @7 :UInt32;
  # Until nobody waits for it any longer.
  isWriting @8 :Bool;
  isShort @9 :Bool;
  latencyTargetMs @10 :UInt32;
  dueInMs @11 :Int32;
  # Until its first event is late.
  memory @12 :List(UInt32);
  # Tokens held at each engine; shorter than the list of engines: nothing at the rest.
}

struct QueuedRequest {
  id @0 :UInt64;
  readingMs @1 :Float32;
  turnInMs @2 :Int32;
  lifeMs @3 :UInt32;
}

struct Progress {
  # The first event of a work has come.
  id @0 :UInt64;
  target @1 :UInt64;
  inHand @2 :Int32 = -1;
  # What the target says it has in hand; negative: it does not say.
}

struct Ejection {
  target @0 :UInt64;
  leftMs @1 :UInt32;
}

struct PeerMessage {
  sender @0 :Text;
  incarnation @1 :UInt64;
  roster @2 :List(MemberRecord);
  # Empty in messages that tell of work only.
  placed @3 :List(InFlightRequest);
  writing @4 :List(Progress);
  ended @5 :List(UInt64);
  isStatement @6 :Bool;
  # `placed` and `waiting` hold all work of the sender: what is missing there has ended.
  registryRevision @7 :Int64;
  distrusted @8 :List(Ejection);
  waiting @9 :List(QueuedRequest);
  silent @10 :List(Suspicion);
}
