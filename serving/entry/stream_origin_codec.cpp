#include <serving/entry/stream_origin_codec.hpp>
#include <serving/link/codec.hpp>

namespace marjorampath::schema
{

void encode(stream_origin const& value, StreamOrigin::Builder wire)
{
    wire.setStream(value.stream.number());
    wire.setSoftware(value.software_version);
}

void decode(StreamOrigin::Reader wire, stream_origin& value)
{
    decode(wire.getStream(), value.stream);
    value.software_version = wire.getSoftware().cStr();
}

void encode(stream_origin_query const& value, StreamOriginQuery::Builder wire)
{
    wire.setNumber(value.number);
    wire.setStream(value.stream.number());
}

void decode(StreamOriginQuery::Reader wire, stream_origin_query& value)
{
    value.number = wire.getNumber();
    decode(wire.getStream(), value.stream);
}

void encode(stream_origin_reply const& value, StreamOriginReply::Builder wire)
{
    wire.setNumber(value.number);
    wire.setKnown(value.software_version.has_value());
    wire.setSoftware(value.software_version.value_or(std::string()));
}

void decode(StreamOriginReply::Reader wire, stream_origin_reply& value)
{
    value.number = wire.getNumber();
    value.software_version.reset();
    if (wire.getKnown())
        value.software_version = wire.getSoftware().cStr();
}

} // namespace marjorampath::schema
