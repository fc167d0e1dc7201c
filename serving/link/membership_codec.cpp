#include <serving/link/codec.hpp>
#include <serving/link/membership_codec.hpp>

namespace marjorampath::schema
{

void encode(host_record const& value, HostRecord::Builder wire)
{
    wire.setHost(value.host.number());
    wire.setZone(value.zone.number());
    wire.setRegion(value.region.number());
    wire.setIncarnation(value.incarnation);
    wire.setCounter(value.counter);
    wire.setState(encode_enum<HostState>(value.state));
}

void decode(HostRecord::Reader wire, host_record& value)
{
    decode(wire.getHost(), value.host);
    decode(wire.getZone(), value.zone);
    decode(wire.getRegion(), value.region);
    value.incarnation = wire.getIncarnation();
    value.counter = wire.getCounter();
    value.state = decode_enum(wire.getState(), marjorampath::host_state::dead);
}

void encode(lease_hint const& value, LeaseHint::Builder wire)
{
    wire.setResource(value.resource.number());
    wire.setHolder(value.holder.number());
    wire.setFencingNumber(value.fencing_number);
}

void decode(LeaseHint::Reader wire, lease_hint& value)
{
    decode(wire.getResource(), value.resource);
    decode(wire.getHolder(), value.holder);
    value.fencing_number = wire.getFencingNumber();
}

void encode(conviction const& value, Conviction::Builder wire)
{
    wire.setFingerprint(value.fingerprint.number());
    wire.setFirstCrash(value.first_crash);
    wire.setSecondCrash(value.second_crash);
    wire.setCrashedAt(value.crashed_at.count());
    wire.setRemaining(encode_duration(value.remaining));
}

void decode(Conviction::Reader wire, conviction& value)
{
    decode(wire.getFingerprint(), value.fingerprint);
    value.first_crash = wire.getFirstCrash();
    value.second_crash = wire.getSecondCrash();
    value.crashed_at = decode_wall(wire.getCrashedAt());
    value.remaining = decode_duration(wire.getRemaining());
}

void encode(conviction_release const& value, ConvictionRelease::Builder wire)
{
    wire.setFingerprint(value.fingerprint.number());
    wire.setReleasedAt(value.released_at.count());
    wire.setRemaining(encode_duration(value.remaining));
}

void decode(ConvictionRelease::Reader wire, conviction_release& value)
{
    decode(wire.getFingerprint(), value.fingerprint);
    value.released_at = decode_wall(wire.getReleasedAt());
    value.remaining = decode_duration(wire.getRemaining());
}

void encode(gossip const& value, Gossip::Builder wire)
{
    encode_list(value.hosts, wire.initHosts(wire_size(value.hosts)));
    wire.setSheetNumber(value.sheet_number);
    wire.setSheetDigest(value.sheet_digest);
    encode_list(value.leases, wire.initLeases(wire_size(value.leases)));
    encode_list(value.convictions, wire.initConvictions(wire_size(value.convictions)));
    encode_list(value.releases, wire.initReleases(wire_size(value.releases)));
}

void decode(Gossip::Reader wire, gossip& value)
{
    decode_list(wire.getHosts(), value.hosts);
    value.sheet_number = wire.getSheetNumber();
    value.sheet_digest = wire.getSheetDigest();
    decode_list(wire.getLeases(), value.leases);
    decode_list(wire.getConvictions(), value.convictions);
    decode_list(wire.getReleases(), value.releases);
}

void encode(probe const& value, Probe::Builder wire)
{
    wire.setSequence(value.sequence);
    encode(value.sender, wire.initSender());
    wire.setTarget(value.target.number());
    encode(value.updates, wire.initNews());
}

void decode(Probe::Reader wire, probe& value)
{
    value.sequence = wire.getSequence();
    decode(wire.getSender(), value.sender);
    decode(wire.getTarget(), value.target);
    decode(wire.getNews(), value.updates);
}

void encode(indirect_probe const& value, IndirectProbe::Builder wire)
{
    wire.setSequence(value.sequence);
    encode(value.sender, wire.initSender());
    wire.setSubject(value.subject.number());
    encode(value.updates, wire.initNews());
}

void decode(IndirectProbe::Reader wire, indirect_probe& value)
{
    value.sequence = wire.getSequence();
    decode(wire.getSender(), value.sender);
    decode(wire.getSubject(), value.subject);
    decode(wire.getNews(), value.updates);
}

void encode(probe_reply const& value, ProbeReply::Builder wire)
{
    wire.setSequence(value.sequence);
    encode(value.sender, wire.initSender());
    wire.setAskerIncarnation(value.requester_incarnation);
    wire.setSubject(value.subject.number());
    encode(value.updates, wire.initNews());
}

void decode(ProbeReply::Reader wire, probe_reply& value)
{
    value.sequence = wire.getSequence();
    decode(wire.getSender(), value.sender);
    value.requester_incarnation = wire.getAskerIncarnation();
    decode(wire.getSubject(), value.subject);
    decode(wire.getNews(), value.updates);
}

} // namespace marjorampath::schema
