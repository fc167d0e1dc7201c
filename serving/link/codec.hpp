#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <capnp/blob.h>
#include <capnp/list.h>
#include <kj/debug.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath::schema
{

// Each message has a pair of functions: `encode(message, builder)` and
// `decode(reader, message)`. Decoding treats the bytes as untrusted: it limits durations
// and times to a safe range, and throws a kj::Exception, which fails the call, for an
// unknown enumerator or union member.

/// Longest duration accepted from another node; keeps sums of times from overflowing.
inline constexpr duration max_wire_duration = std::chrono::hours(24 * 365);

/// Encodes a duration as nanoseconds.
constexpr std::int64_t encode_duration(duration value) noexcept
{
    return value.count();
}

/// Decodes a duration, limited to plus or minus `max_wire_duration`.
constexpr duration decode_duration(std::int64_t nanoseconds) noexcept
{
    return std::clamp(duration(nanoseconds), -max_wire_duration, max_wire_duration);
}

/// Decodes a wall-clock time in Unix milliseconds, limited to the years 1970 to 10000.
constexpr wall_milliseconds decode_wall(std::int64_t milliseconds) noexcept
{
    constexpr std::int64_t year_10000 = 253'402'300'800'000;
    return wall_milliseconds(std::clamp<std::int64_t>(milliseconds, 0, year_10000));
}

/// Decodes an identifier.
template <class Tag>
void decode(std::uint64_t number, identifier<Tag>& value) noexcept
{
    value = identifier<Tag>(number);
}

/// Encodes bytes; the result refers to the string.
inline capnp::Data::Reader encode_bytes(std::string const& bytes)
{
    return {reinterpret_cast<kj::byte const*>(bytes.data()), bytes.size()};
}

/// Decodes bytes.
inline std::string decode_bytes(capnp::Data::Reader bytes)
{
    return {reinterpret_cast<char const*>(bytes.begin()), bytes.size()};
}

/// Encodes an enumerator; both enumerations list their enumerators in the same order.
template <class Wire, class Value>
constexpr Wire encode_enum(Value value) noexcept
{
    return static_cast<Wire>(value);
}

/// Decodes an enumerator; throws if it is beyond `last`, the last known one.
template <class Value, class Wire>
Value decode_enum(Wire wire, Value last)
{
    KJ_REQUIRE(static_cast<std::uint16_t>(wire) <= static_cast<std::uint16_t>(last),
               "unknown enumerator");
    return static_cast<Value>(wire);
}

/// Encodes each element of a list with its `encode` function.
template <class Element, class Builder>
void encode_list(std::vector<Element> const& values, Builder builder)
{
    for (std::size_t index = 0; index < values.size(); ++index)
        encode(values[index], builder[static_cast<capnp::uint>(index)]);
}

/// Decodes each element of a list with its `decode` function.
template <class Reader, class Element>
void decode_list(Reader reader, std::vector<Element>& values)
{
    values.clear();
    values.reserve(reader.size());
    for (auto const element : reader)
        decode(element, values.emplace_back());
}

/// Size of a list in the builder's type.
template <class Element>
capnp::uint wire_size(std::vector<Element> const& values)
{
    return static_cast<capnp::uint>(values.size());
}

} // namespace marjorampath::schema
