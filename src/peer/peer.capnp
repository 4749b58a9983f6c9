# Messages between hosts: status datagrams (UDP) and peer RPC (TCP).
# The generated code in generated/ is committed; after a change run:
#   capnp compile -oc++:src/peer/generated --src-prefix=src/peer src/peer/peer.capnp
@0xd1c7a3f0b5e2946b;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("skylark::wire");

struct LoadedModel {
  name @0 :Text;
  version @1 :Text;
  adapters @2 :List(Text);
}

struct TargetStatus {
  target @0 :Text;
  leaving @1 :Bool;
  baselineStepMs @2 :Float64;
  # The target's load report as its batch owner received it.
  reportSequence @3 :UInt64;
  slots @4 :UInt32;
  running @5 :UInt32;
  waiting @6 :UInt32;
  stepMs @7 :Float64;
  draining @8 :Bool;
  models @9 :List(LoadedModel);
  # Time since the owner received the report; clocks of hosts are not compared.
  reportAgeMs @10 :UInt32;
}

struct NamedCount {
  name @0 :Text;
  count @1 :UInt32;
}

struct NamedRevision {
  name @0 :Text;
  revision @1 :UInt64;
}

struct SuspectRun {
  parts @0 :List(UInt64);  # Shared prompt parts, in order.
  own @1 :UInt64;  # Last prompt part.
  begun @2 :Bool;  # Whether the answer had begun.
}

struct TargetCrash {
  target @0 :Text;
  ageMs @1 :UInt32;
  runs @2 :List(SuspectRun);
}

struct SoundPart {
  part @0 :UInt64;
  ageMs @1 :UInt32;
}

struct QuarantinedPart {
  part @0 :UInt64;
  ageMs @1 :UInt32;  # Time since the last crash that led to the quarantine.
  lastsMs @2 :UInt32;  # Duration of the quarantine from that crash.
  rounds @3 :UInt32;
}

struct TargetLimit {
  target @0 :Text;
  limited @1 :Bool;  # Whether the target names a limit.
  perSecond @2 :Float64;
  ageMs @3 :UInt32;
}

struct HostStatus {
  host @0 :Text;
  domain @1 :Text;
  session @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  leaving @5 :Bool;
  ready @6 :Bool;
  configRevision @7 :UInt64;
  jobsCursor @8 :UInt64;
  targets @9 :List(TargetStatus);
  onlineInFlight @10 :List(NamedCount);
  freeByModel @11 :List(NamedCount);
  batchInFlight @12 :List(NamedCount);
  jobRevisions @13 :List(NamedRevision);
  batchWaiting @14 :UInt32;
  sentAtMs @15 :UInt64;  # Steady clock of the sender.
  crashes @16 :List(TargetCrash);
  soundParts @17 :List(SoundPart);
  quarantinedParts @18 :List(QuarantinedPart);
  limits @19 :List(TargetLimit);
  configProven @20 :Bool;  # Whether configProofAgeMs is set.
  configProofAgeMs @21 :UInt32;  # Age of the sender's proof that its configuration is the newest.
  linksLost @23 :Bool;  # Whether the sender reaches no target.
  batchWaitingByService @22 :List(NamedCount);  # Parts of batchWaiting. Empty in datagrams of versions that do not tell services apart.
}

struct YieldRequest {
  from @0 :Text;
  target @1 :Text;
  slots @2 :UInt32;
}

# Asks a holder of a workspace's request quota for tokens.
struct QuotaRequest {
  from @0 :Text;
  workspace @1 :Text;
  number @2 :UInt64;  # Number of the request among those of the sender's process.
  tokens @3 :UInt32;
}

# Answer to a QuotaRequest.
struct QuotaGrant {
  from @0 :Text;
  workspace @1 :Text;
  number @2 :UInt64;  # Number of the request.
  tokens @3 :UInt32;  # Tokens given; 0 when the holder has none.
  retryAfterMs @4 :UInt32;  # Time until the holder has a further token; 0 if it has one now, or may not grant any.
}

# Service and software version at which a stream began: a record for its keeper, or the answer to an OriginQuestion.
struct StreamOrigin {
  from @0 :Text;
  stream @1 :UInt64;  # Key of the stream.
  service @2 :Text;  # Empty in the answer of a host that has no record.
  version @3 :Text;
}

struct OriginQuestion {
  from @0 :Text;
  stream @1 :UInt64;
}

struct Datagram {
  union {
    status @0 :HostStatus;
    yield @1 :YieldRequest;
    quotaRequest @2 :QuotaRequest;
    quotaGrant @3 :QuotaGrant;
    originRecord @4 :StreamOrigin;
    originQuestion @5 :OriginQuestion;
    originAnswer @6 :StreamOrigin;
  }
}

# A typed error; a null pointer means success.
struct Failure {
  code @0 :Text;
  detail @1 :Text;
  mayHaveRun @2 :Bool;
}

struct StateBundle {
  revision @0 :UInt64;
  documents @1 :Text;
  targets @2 :Text;
  jobs @3 :Text;
  jobsCursor @4 :UInt64;
}

interface Peer {
  getBlob @0 (id :Text) -> (data :Data, failure :Failure);
  putBlob @1 (id :Text, data :Data) -> (failure :Failure);
  hasBlobs @2 (ids :List(Text)) -> (stored :List(Bool), failure :Failure);
  pullState @3 (known :UInt64, jobsCursor :UInt64) -> (state :StateBundle, failure :Failure);
}
