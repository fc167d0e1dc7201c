#pragma once

#include <marjorampath/membership/host_record.hpp>
#include <marjorampath/membership/indirect_probe.hpp>
#include <marjorampath/membership/probe.hpp>
#include <marjorampath/membership/probe_reply.hpp>
#include <schema/node.capnp.h>

namespace marjorampath::schema
{

/// Writes a host record.
void encode(host_record const& value, HostRecord::Builder wire);

/// Reads a host record.
void decode(HostRecord::Reader wire, host_record& value);

/// Writes a lease hint.
void encode(lease_hint const& value, LeaseHint::Builder wire);

/// Reads a lease hint.
void decode(LeaseHint::Reader wire, lease_hint& value);

/// Writes a conviction.
void encode(conviction const& value, Conviction::Builder wire);

/// Reads a conviction.
void decode(Conviction::Reader wire, conviction& value);

/// Writes a conviction release.
void encode(conviction_release const& value, ConvictionRelease::Builder wire);

/// Reads a conviction release.
void decode(ConvictionRelease::Reader wire, conviction_release& value);

/// Writes a gossip message.
void encode(gossip const& value, Gossip::Builder wire);

/// Reads a gossip message.
void decode(Gossip::Reader wire, gossip& value);

/// Writes a probe.
void encode(probe const& value, Probe::Builder wire);

/// Reads a probe.
void decode(Probe::Reader wire, probe& value);

/// Writes an indirect probe.
void encode(indirect_probe const& value, IndirectProbe::Builder wire);

/// Reads an indirect probe.
void decode(IndirectProbe::Reader wire, indirect_probe& value);

/// Writes a probe reply.
void encode(probe_reply const& value, ProbeReply::Builder wire);

/// Reads a probe reply.
void decode(ProbeReply::Reader wire, probe_reply& value);

} // namespace marjorampath::schema
