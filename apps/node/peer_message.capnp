# Messages between instances: membership, request state and ejections. One message per datagram.
@0xb7f2c1d85e3a9046;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("egretmount::node::wire");

struct MemberRecord {
  host @0 :Text;
  incarnation @1 :UInt64;
  # Start time of the process in milliseconds since the epoch; a restart has a higher one.
  version @2 :UInt64;
  # Grows within an incarnation whenever the instance has new state to publish about itself.
  isLeaving @3 :Bool;
  # The instance is shutting down and must not be named to callers.
  isLost @4 :Bool;
  # The instance has been declared failed at this version.
  capacity @5 :UInt16;
  # Relative capacity of the instance in thousandths of a core; zero: unknown.
}

struct Suspicion {
  # The sender receives no heartbeats from this instance at this version.
  host @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
}

struct InFlightRequest {
  # A request that the sender has placed on one or more engines.
  id @0 :UInt64;
  engines @1 :List(UInt64);
  # The first engine receives the request; the others are helpers that prefill a shard of its
  # prompt.
  promptTokens @2 :UInt32;
  partMs @3 :Float32;
  # Prefill time of one shard at the published speed of the engine.
  weight @4 :Float32;
  # Cost of a late response relative to other requests.
  pauseTargetMs @5 :UInt32;
  # Longest acceptable gap between two events of the stream; zero: none is configured.
  ageMs @6 :UInt32;
  # Time since the request was sent. The message holds durations instead of points in time because
  # the clocks of instances differ.
  lifeMs @7 :UInt32;
  # Time until the request expires because no caller waits for it any more.
  isWriting @8 :Bool;
  # The first event has arrived: prefill is complete and the engine is decoding.
  isShort @9 :Bool;
  # The prompt is so short that it hardly delays the streams of its engine.
  latencyTargetMs @10 :UInt32;
  # From the arrival of the request to its first event.
  dueInMs @11 :Int32;
  # Time until the first event is late; negative: it is late already.
  memory @12 :List(UInt32);
  # Tokens of memory held at each engine, in the order of `engines`. Engines beyond the end of this
  # list hold none.
  isCellLocal @13 :Bool;
  # Only the instances of the sender's cell receive messages about this request.
  rank @14 :UInt8 = 255;
  # 0 is the most urgent; 255: unknown, the sender is of an earlier version.
  team @15 :UInt64;
  # Hash of the id of the team; zero: unknown, or no team.
}

struct QueuedRequest {
  # A request with a long prompt that the sender has not placed yet.
  id @0 :UInt64;
  readingMs @1 :Float32;
  # Prefill time of the whole prompt on one engine.
  turnInMs @2 :Int32;
  # Virtual arrival time, which determines the position in the queue; relative to now.
  lifeMs @3 :UInt32;
  # Time until the request expires.
  rank @4 :UInt8 = 255;
  team @5 :UInt64;
  # As in `InFlightRequest`.
}

struct Progress {
  # Reports that the first event of a request has arrived.
  id @0 :UInt64;
  target @1 :UInt64;
  inHand @2 :Int32 = -1;
  # Number of in-flight requests as reported by the target; negative: not reported.
}

struct Ejection {
  # Asks the receiver to avoid a target that does not respond to the sender.
  target @0 :UInt64;
  leftMs @1 :UInt32;
  # Time for which the receiver should avoid the target.
}

struct Departure {
  # Reports that a target has announced its shutdown.
  target @0 :UInt64;
  startedAt @1 :Int64;
  # Start stamp of the incarnation that leaves; a later incarnation accepts work.
}

struct TargetCrash {
  # A target crashed while it may have been running requests with these causes.
  target @0 :UInt64;
  ageMs @1 :UInt32;
  parts @2 :List(UInt64);
  # Shared parts of prompts.
  requests @3 :List(UInt64);
  # Ids of the contents of requests.
}

struct CauseBlock {
  # Requests with this cause are sent to no target.
  id @0 :UInt64;
  ageMs @1 :UInt32;
  leftMs @2 :UInt32;
  isRequest @3 :Bool;
  # The id is that of the content of a request, otherwise that of a part of prompts.
  isTrial @4 :Bool;
  # The block had ended, and one request is being sent again.
}

struct TargetLimit {
  # The requests per second that a target takes from all instances together.
  target @0 :UInt64;
  startedAt @1 :Int64;
  # Start stamp of the incarnation that named the limit.
  perSecond @2 :Float32;
  # Zero: the target names no limit any more.
  ageMs @3 :UInt32;
  # Time since the target stated it.
}

struct PeerMessage {
  sender @0 :Text;
  # Host of the sending instance.
  incarnation @1 :UInt64;
  roster @2 :List(MemberRecord);
  # Empty in messages that hold only request state.
  placed @3 :List(InFlightRequest);
  # Requests that the sender has placed.
  writing @4 :List(Progress);
  # Requests whose first event has arrived.
  ended @5 :List(UInt64);
  # Ids of requests that have ended.
  isStatement @6 :Bool;
  # The message is a full-state snapshot: `placed` and `waiting` hold all requests of the sender,
  # and the receiver removes those that are missing.
  registryRevision @7 :Int64;
  # Revision of the registry up to which the sender is synchronized; zero: not synchronized yet.
  distrusted @8 :List(Ejection);
  # Targets that do not respond to the sender.
  waiting @9 :List(QueuedRequest);
  # Requests that are queued at the sender.
  silent @10 :List(Suspicion);
  # Instances that the sender suspects to have failed.
  registryAgeMs @11 :UInt32 = 0xffffffff;
  # Time since the sender's copy of the registry was last known to be complete.
  outageAgeMs @12 :UInt32 = 0xffffffff;
  # Time since the end of the last registry outage that the sender knows of and that may have cost
  # entries.
  registryEra @13 :Int64;
  # Era of the registry to which `registryRevision` belongs; zero: the registry reports no eras.
  leaving @14 :List(Departure);
  # Targets that announced their shutdown to the sender and are not yet listed as draining.
  crashes @15 :List(TargetCrash);
  # Crashes of targets that the sender observed.
  blocked @16 :List(CauseBlock);
  # Causes that the sender blocks.
  soundParts @17 :List(UInt64);
  # Parts of prompts that a target has survived.
  limits @18 :List(TargetLimit);
  # Limits that targets have named, and ends of limits.
  soundRequests @19 :List(UInt64);
  # Ids of contents of requests that a target has survived.
  reachesNoTarget @20 :Bool;
  # The sender can connect to no target.
  contactAgeMs @21 :UInt32 = 0xffffffff;
  # Time since the sender last had contact with a target.
  deferred @22 :UInt16;
  # Short requests that the sender defers. Earlier versions state none.
  outageLengthMs @23 :UInt32;
  # Length of the outage of `outageAgeMs`; zero: unknown, and not believed to have cost entries.
}
