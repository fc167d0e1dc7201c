@0xb41d7c02f95e6a83;
# Datagrams between the entry hosts of a deployment that has no host list.
#
# Compatibility rules are those of node.capnp: fields are only ever added, at the end.

using Cxx = import "/capnp/c++.capnp";
using Node = import "node.capnp";
$Cxx.namespace("marjorampath::schema");

struct PeerAddress {
  address @0 :UInt32;
  port @1 :UInt16;
}

struct PeerMention {
  host @0 :UInt64;
  incarnation @1 :UInt64;
  address @2 :PeerAddress;
}

struct AdapterStatus {
  name @0 :Text;
  version @1 :UInt64;
  readyIn @2 :Int64;
  requests @3 :UInt16;
}

struct EngineStatus {
  endpoint @0 :UInt64;
  born @1 :UInt64;
  orderable @2 :Bool;
  freePlaces @3 :UInt32;
  inFlight @4 :UInt32;
  waitingTokens @5 :UInt64;
  tokens @6 :UInt64;
  models @7 :List(Text);
  adapters @8 :List(AdapterStatus);
  orderableIn @9 :Int64;
}

struct AdapterUsage {
  name @0 :Text;
  inFlight @1 :UInt32;
  sent @2 :UInt32;
}

struct EngineUsage {
  endpoint @0 :UInt64;
  inFlight @1 :UInt32;
  waitingTokens @2 :UInt64;
  tokens @3 :UInt64;
  adapters @4 :List(AdapterUsage);
}

struct QuotaReport {
  # Hash of the organisation's name.
  organisation @0 :UInt64;
  # Units per second that callers ask for, and that the sender lets through.
  asked @1 :UInt64;
  used @2 :UInt64;
}

struct RateLimit {
  endpoint @0 :UInt64;
  born @1 :UInt64;
  limited @2 :Bool;
  rate @3 :Float64;
  age @4 :Int64;
}

struct PermitRequest {
  number @0 :UInt64;
  limit @1 :RateLimit;
}

struct PermitReply {
  number @0 :UInt64;
  granted @1 :Bool;
  wait @2 :Int64;
  limit @3 :RateLimit;
}

struct StreamOrigin {
  stream @0 :UInt64;
  software @1 :Text;
}

struct StreamOriginQuery {
  number @0 :UInt64;
  stream @1 :UInt64;
}

struct StreamOriginReply {
  number @0 :UInt64;
  known @1 :Bool;
  software @2 :Text;
}

struct PartCrash {
  id @0 :UInt64;
  age @1 :Int64;
}

struct PartReport {
  part @0 :UInt64;
  crashes @1 :List(PartCrash);
  sound @2 :Bool;
  soundAge @3 :Int64;
}

struct FreshnessQuery {
  number @0 :UInt64;
}

struct FreshnessReply {
  number @0 :UInt64;
  version @1 :UInt64;
  # Negative if it is not known.
  age @2 :Int64 = -1;
}

struct RelayedBeat {
  # A PeerMessage with a beat, as it was received.
  message @0 :Data;
  age @1 :Int64;
}

struct PeerBeat {
  host @0 :UInt64;
  zone @1 :UInt64;
  incarnation @2 :UInt64;
  address @3 :PeerAddress;
  leaving @4 :Bool;
  gone @5 :Bool;
  operatorRevision @6 :UInt64;
  listingRevision @7 :UInt64;
  listingAge @8 :Int64;
  transit @9 :UInt32;
  mentions @10 :List(PeerMention);
  engines @11 :List(EngineStatus);
  usage @12 :List(EngineUsage);
  convictions @13 :List(Node.Conviction);
  rateLimits @14 :List(RateLimit);
  parts @15 :List(PartReport);
  unreachedServices @16 :List(UInt64);
  passesOn @17 :Bool;
  sequence @18 :UInt64;
  toPassOn @19 :Bool;
  relayed @20 :List(RelayedBeat);
  # Zero from builds that do not know eras of the store.
  operatorEra @21 :UInt64;
  keptConfiguration @22 :UInt64;
  listingEra @23 :UInt64;
  # Negative if it is not known.
  configurationAge @24 :Int64 = -1;
  quotas @25 :List(QuotaReport);
}

struct LoadRequest {
  endpoint @0 :UInt64;
  adapter @1 :Text;
}

struct LoadReply {
  endpoint @0 :UInt64;
  adapter @1 :Text;
  accepted @2 :Bool;
  readyIn @3 :Int64;
}

struct UsageReport {
  host @0 :UInt64;
  usage @1 :EngineUsage;
  wantsStatus @2 :Bool;
}

struct PeerMessage {
  union {
    beat @0 :PeerBeat;
    leaseRequest @1 :Node.LeaseRequest;
    leaseReply @2 :Node.LeaseReply;
    leaseRelease @3 :Node.LeaseRelease;
    loadRequest @4 :LoadRequest;
    loadReply @5 :LoadReply;
    usageReport @6 :UsageReport;
    engineStatus @7 :EngineStatus;
    permitRequest @8 :PermitRequest;
    permitReply @9 :PermitReply;
    rateLimit @10 :RateLimit;
    streamOrigin @11 :StreamOrigin;
    streamOriginQuery @12 :StreamOriginQuery;
    streamOriginReply @13 :StreamOriginReply;
    freshnessQuery @14 :FreshnessQuery;
    freshnessReply @15 :FreshnessReply;
  }
}
