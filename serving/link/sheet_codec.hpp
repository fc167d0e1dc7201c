#pragma once

#include <marjorampath/gossip/sheet_reply.hpp>
#include <marjorampath/gossip/sheet_request.hpp>
#include <schema/node.capnp.h>

namespace marjorampath::schema
{

/// Writes a sheet request.
void encode(sheet_request const& value, SheetRequest::Builder wire);

/// Reads a sheet request.
void decode(SheetRequest::Reader wire, sheet_request& value);

/// Writes a sheet part.
void encode(sheet_part const& value, SheetPart::Builder wire);

/// Reads a sheet part.
void decode(SheetPart::Reader wire, sheet_part& value);

/// Writes a sheet reply.
void encode(sheet_reply const& value, SheetReply::Builder wire);

/// Reads a sheet reply.
void decode(SheetReply::Reader wire, sheet_reply& value);

} // namespace marjorampath::schema
