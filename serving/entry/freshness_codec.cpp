#include <serving/entry/freshness_codec.hpp>
#include <serving/link/codec.hpp>

namespace marjorampath::schema
{

std::int64_t encode_known_age(std::optional<duration> age) noexcept
{
    return age ? encode_duration(*age) : -1;
}

std::optional<duration> decode_known_age(std::int64_t wire) noexcept
{
    return wire < 0 ? std::nullopt : std::optional(decode_duration(wire));
}

void encode(freshness_query const& value, FreshnessQuery::Builder wire)
{
    wire.setNumber(value.number);
}

void decode(FreshnessQuery::Reader wire, freshness_query& value)
{
    value.number = wire.getNumber();
}

void encode(freshness_reply const& value, FreshnessReply::Builder wire)
{
    wire.setNumber(value.number);
    wire.setVersion(value.version);
    wire.setAge(encode_known_age(value.age));
}

void decode(FreshnessReply::Reader wire, freshness_reply& value)
{
    value.number = wire.getNumber();
    value.version = wire.getVersion();
    value.age = decode_known_age(wire.getAge());
}

} // namespace marjorampath::schema
