#pragma once

#include <marjorampath/freshness/freshness_messages.hpp>
#include <schema/peer.capnp.h>

namespace marjorampath::schema
{

/// Writes a query for the freshness of another host's configuration.
void encode(freshness_query const& value, FreshnessQuery::Builder wire);

/// Reads such a query.
void decode(FreshnessQuery::Reader wire, freshness_query& value);

/// Writes the reply to such a query.
void encode(freshness_reply const& value, FreshnessReply::Builder wire);

/// Reads the reply to such a query.
void decode(FreshnessReply::Reader wire, freshness_reply& value);

/// The wire form of an age that may be unknown, which is negative then.
std::int64_t encode_known_age(std::optional<duration> age) noexcept;

/// Reads such an age.
std::optional<duration> decode_known_age(std::int64_t wire) noexcept;

} // namespace marjorampath::schema
