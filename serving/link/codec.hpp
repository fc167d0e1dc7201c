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
// `decode(reader, message)`. Decoding never trusts the bytes: it throws a kj::Exception,
// which fails the call, where a value is out of range.

/// Longest duration that is taken from another node; bounds sums of times.
inline constexpr duration max_wire_duration = std::chrono::hours(24 * 365);

/// A duration as sent between nodes.
constexpr std::int64_t encode_duration(duration value) noexcept
{
    return value.count();
}

/// A duration received from another node, limited to `max_wire_duration` either way.
constexpr duration decode_duration(std::int64_t nanoseconds) noexcept
{
    return std::clamp(duration(nanoseconds), -max_wire_duration, max_wire_duration);
}

/// A wall-clock time received from another node, limited to 0 and the year 10000.
constexpr wall_milliseconds decode_wall(std::int64_t milliseconds) noexcept
{
    constexpr std::int64_t year_10000 = 253'402'300'800'000;
    return wall_milliseconds(std::clamp<std::int64_t>(milliseconds, 0, year_10000));
}

/// Takes an identifier received from another node.
template <class Tag>
void decode(std::uint64_t number, identifier<Tag>& value) noexcept
{
    value = identifier<Tag>(number);
}

/// Bytes as sent between nodes.
inline capnp::Data::Reader encode_bytes(std::string const& bytes)
{
    return {reinterpret_cast<kj::byte const*>(bytes.data()), bytes.size()};
}

/// Bytes received from another node.
inline std::string decode_bytes(capnp::Data::Reader bytes)
{
    return {reinterpret_cast<char const*>(bytes.begin()), bytes.size()};
}

/// An enumerator as sent between nodes; both lists are in the same order.
template <class Wire, class Value>
constexpr Wire encode_enum(Value value) noexcept
{
    return static_cast<Wire>(value);
}

/// An enumerator received from another node, checked against the last known one.
template <class Value, class Wire>
Value decode_enum(Wire wire, Value last)
{
    KJ_REQUIRE(static_cast<std::uint16_t>(wire) <= static_cast<std::uint16_t>(last),
               "unknown enumerator");
    return static_cast<Value>(wire);
}

/// Encodes a list with the elements' own function.
template <class Element, class Builder>
void encode_list(std::vector<Element> const& values, Builder builder)
{
    for (std::size_t index = 0; index < values.size(); ++index)
        encode(values[index], builder[static_cast<capnp::uint>(index)]);
}

/// Decodes a list with the elements' own function.
template <class Reader, class Element>
void decode_list(Reader reader, std::vector<Element>& values)
{
    values.clear();
    values.reserve(reader.size());
    for (auto const element : reader)
        decode(element, values.emplace_back());
}

/// The size of a list as the builder takes it.
template <class Element>
capnp::uint wire_size(std::vector<Element> const& values)
{
    return static_cast<capnp::uint>(values.size());
}

} // namespace marjorampath::schema
