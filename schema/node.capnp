@0xd3a1f6c28e4b7095;
# Messages between the nodes of a region.
#
# Compatibility: fields and methods are only ever added, at the end; none is renumbered or
# given another meaning. A reader treats an absent field as zero or empty, and every new
# field must be safe to read so by an older program. A method that the other side does not
# know fails as unimplemented. `Hello` carries the protocol version for changes that these
# rules do not cover: a node is compatible with versions N and N - 1.
#
# Identifiers are 64-bit hashes of names; durations are nanoseconds; wall-clock times are
# milliseconds since 1970.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjorampath::schema");

interface Node {
  hello @0 (request :Hello) -> (reply :Hello);
  probe @1 (request :Probe) -> (reply :ProbeReply);
  indirectProbe @2 (request :IndirectProbe) -> (reply :ProbeReply);
  lease @3 (request :LeaseRequest) -> (reply :LeaseReply);
  releaseLease @4 (request :LeaseRelease) -> (reply :Acknowledgement);
  grant @5 (request :GrantRequest) -> (reply :GrantReply);
  # Returns when the request is granted or refused; cancelling the call withdraws it.
  releaseGrant @6 (request :ReleaseReport) -> (reply :Acknowledgement);
  recallGrants @7 (request :GrantRecall) -> (reply :GrantList);
  fetchSheet @8 (request :SheetRequest) -> (reply :SheetReply);
}

struct Acknowledgement {
  accepted @0 :Bool;
}

struct Hello {
  version @0 :UInt32;
  host @1 :UInt64;
  incarnation @2 :UInt64;
}

# Membership and gossip

enum HostState {
  alive @0;
  leaving @1;
  suspect @2;
  dead @3;
}

struct HostRecord {
  host @0 :UInt64;
  zone @1 :UInt64;
  region @2 :UInt64;
  incarnation @3 :UInt64;
  counter @4 :UInt32;
  state @5 :HostState;
}

struct LeaseHint {
  resource @0 :UInt64;
  holder @1 :UInt64;
  fencingNumber @2 :UInt64;
}

struct Conviction {
  fingerprint @0 :UInt64;
  firstCrash @1 :UInt64;
  secondCrash @2 :UInt64;
  crashedAt @3 :Int64;
  remaining @4 :Int64;
}

struct ConvictionRelease {
  fingerprint @0 :UInt64;
  releasedAt @1 :Int64;
  remaining @2 :Int64;
}

struct Gossip {
  hosts @0 :List(HostRecord);
  sheetNumber @1 :UInt64;
  sheetDigest @2 :UInt64;
  leases @3 :List(LeaseHint);
  convictions @4 :List(Conviction);
  releases @5 :List(ConvictionRelease);
}

struct Probe {
  sequence @0 :UInt64;
  sender @1 :HostRecord;
  target @2 :UInt64;
  news @3 :Gossip;
}

struct IndirectProbe {
  sequence @0 :UInt64;
  sender @1 :HostRecord;
  subject @2 :UInt64;
  news @3 :Gossip;
}

struct ProbeReply {
  sequence @0 :UInt64;
  sender @1 :HostRecord;
  subject @2 :UInt64;
  news @3 :Gossip;
  askerIncarnation @4 :UInt64;
}

# Leases

struct LeaseWant {
  resource @0 :UInt64;
  fencingNumber @1 :UInt64;
}

struct LeaseRequest {
  holder @0 :UInt64;
  holderIncarnation @1 :UInt64;
  requestNumber @2 :UInt64;
  wants @3 :List(LeaseWant);
}

struct LeaseVerdict {
  resource @0 :UInt64;
  granted @1 :Bool;
  holder @2 :UInt64;
  remaining @3 :Int64;
  highestFencingNumber @4 :UInt64;
}

struct LeaseReply {
  witness @0 :UInt64;
  witnessIncarnation @1 :UInt64;
  requestNumber @2 :UInt64;
  active @3 :Bool;
  activeIn @4 :Int64;
  verdicts @5 :List(LeaseVerdict);
}

struct LeaseRelease {
  holder @0 :UInt64;
  holderIncarnation @1 :UInt64;
  successor @2 :UInt64;
  resources @3 :List(LeaseWant);
  requestNumber @4 :UInt64;
}

# Grants

struct GrantRequest {
  cell @0 :UInt64;
  request @1 :UInt64;
  entry @2 :UInt64;
  service @3 :UInt64;
  team @4 :UInt64;
  teamWeight @5 :UInt32;
  endpoints @6 :UInt64;
  adapter @7 :UInt64;
  fingerprint @8 :UInt64;
  prefix @9 :UInt64;
  priority @10 :Int32;
  idempotent @11 :Bool;
  remaining @12 :Int64;
  promptTokens @13 :UInt32;
  maxTokens @14 :UInt32;
  sheetNumber @15 :UInt64;
  isolated @16 :Bool;
  attempt @17 :UInt32;
}

struct GrantReply {
  request @0 :UInt64;
  fencingNumber @1 :UInt64;
  union {
    endpoint @2 :UInt64;
    refusal :group {
      reason @3 :Text;
      # Name of an error kind, since numbers of kinds may differ between versions
      retryAfter @4 :Int64;
    }
    notOwner @5 :UInt64;
    # Owner, if known
  }
}

enum ReleaseReason {
  finished @0;
  cancelled @1;
  refused @2;
  adapterMissing @3;
  endpointLost @4;
}

struct ReleaseReport {
  cell @0 :UInt64;
  request @1 :UInt64;
  endpoint @2 :UInt64;
  reason @3 :ReleaseReason;
  tokens @4 :UInt32;
}

struct GrantRecall {
  cell @0 :UInt64;
  owner @1 :UInt64;
  fencingNumber @2 :UInt64;
}

struct HeldGrant {
  request @0 :UInt64;
  endpoint @1 :UInt64;
  adapter @2 :UInt64;
  fingerprint @3 :UInt64;
  remaining @4 :Int64;
  kind @5 :UInt64;
  team @6 :UInt64;
  isolated @7 :Bool;
}

struct GrantList {
  entry @0 :UInt64;
  entryIncarnation @1 :UInt64;
  cell @2 :UInt64;
  fencingNumber @3 :UInt64;
  grants @4 :List(HeldGrant);
}

# Sheet

struct SheetRequest {
  number @0 :UInt64;
  partDigests @1 :List(Text);
}

struct SheetPart {
  name @0 :Text;
  text @1 :Data;
}

struct SheetReply {
  number @0 :UInt64;
  manifest @1 :Data;
  parts @2 :List(SheetPart);
}
