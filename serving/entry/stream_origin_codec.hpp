#pragma once

#include <marjorampath/stream_origin/stream_origin.hpp>
#include <marjorampath/stream_origin/stream_origin_messages.hpp>
#include <schema/peer.capnp.h>

namespace marjorampath::schema
{

/// Writes the origin of a stream.
void encode(stream_origin const& value, StreamOrigin::Builder wire);

/// Reads the origin of a stream.
void decode(StreamOrigin::Reader wire, stream_origin& value);

/// Writes a question for the origin of a stream.
void encode(stream_origin_query const& value, StreamOriginQuery::Builder wire);

/// Reads a question for the origin of a stream.
void decode(StreamOriginQuery::Reader wire, stream_origin_query& value);

/// Writes the reply to such a question.
void encode(stream_origin_reply const& value, StreamOriginReply::Builder wire);

/// Reads the reply to such a question.
void decode(StreamOriginReply::Reader wire, stream_origin_reply& value);

} // namespace marjorampath::schema
