#include <serving/link/codec.hpp>
#include <serving/link/lease_codec.hpp>

namespace marjorampath::schema
{

void encode(lease_want const& value, LeaseWant::Builder wire)
{
    wire.setResource(value.resource.number());
    wire.setFencingNumber(value.fencing_number);
}

void decode(LeaseWant::Reader wire, lease_want& value)
{
    decode(wire.getResource(), value.resource);
    value.fencing_number = wire.getFencingNumber();
}

void encode(lease_request const& value, LeaseRequest::Builder wire)
{
    wire.setHolder(value.holder.number());
    wire.setHolderIncarnation(value.holder_incarnation);
    wire.setRequestNumber(value.request_number);
    encode_list(value.wants, wire.initWants(wire_size(value.wants)));
}

void decode(LeaseRequest::Reader wire, lease_request& value)
{
    decode(wire.getHolder(), value.holder);
    value.holder_incarnation = wire.getHolderIncarnation();
    value.request_number = wire.getRequestNumber();
    decode_list(wire.getWants(), value.wants);
}

void encode(lease_verdict const& value, LeaseVerdict::Builder wire)
{
    wire.setResource(value.resource.number());
    wire.setGranted(value.granted);
    wire.setHolder(value.holder.number());
    wire.setRemaining(encode_duration(value.remaining));
    wire.setHighestFencingNumber(value.highest_fencing_number);
}

void decode(LeaseVerdict::Reader wire, lease_verdict& value)
{
    decode(wire.getResource(), value.resource);
    value.granted = wire.getGranted();
    decode(wire.getHolder(), value.holder);
    value.remaining = decode_duration(wire.getRemaining());
    value.highest_fencing_number = wire.getHighestFencingNumber();
}

void encode(lease_reply const& value, LeaseReply::Builder wire)
{
    wire.setWitness(value.witness.number());
    wire.setWitnessIncarnation(value.witness_incarnation);
    wire.setRequestNumber(value.request_number);
    wire.setActive(value.active);
    wire.setActiveIn(encode_duration(value.active_in));
    encode_list(value.verdicts, wire.initVerdicts(wire_size(value.verdicts)));
}

void decode(LeaseReply::Reader wire, lease_reply& value)
{
    decode(wire.getWitness(), value.witness);
    value.witness_incarnation = wire.getWitnessIncarnation();
    value.request_number = wire.getRequestNumber();
    value.active = wire.getActive();
    value.active_in = decode_duration(wire.getActiveIn());
    decode_list(wire.getVerdicts(), value.verdicts);
}

void encode(lease_release const& value, LeaseRelease::Builder wire)
{
    wire.setHolder(value.holder.number());
    wire.setHolderIncarnation(value.holder_incarnation);
    wire.setRequestNumber(value.request_number);
    wire.setSuccessor(value.successor.number());
    encode_list(value.resources, wire.initResources(wire_size(value.resources)));
}

void decode(LeaseRelease::Reader wire, lease_release& value)
{
    decode(wire.getHolder(), value.holder);
    value.holder_incarnation = wire.getHolderIncarnation();
    value.request_number = wire.getRequestNumber();
    decode(wire.getSuccessor(), value.successor);
    decode_list(wire.getResources(), value.resources);
}

} // namespace marjorampath::schema
