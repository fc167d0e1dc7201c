#pragma once

#include <marjorampath/lease/grant_list.hpp>
#include <marjorampath/lease/grant_recall.hpp>
#include <schema/node.capnp.h>
#include <serving/link/acknowledgement.hpp>
#include <serving/link/cell_grant_reply.hpp>
#include <serving/link/cell_grant_request.hpp>
#include <serving/link/cell_release.hpp>
#include <serving/link/node_hello.hpp>

namespace marjorampath::schema
{

/// Writes a node hello.
void encode(serving::node_hello const& value, Hello::Builder wire);

/// Reads a node hello.
void decode(Hello::Reader wire, serving::node_hello& value);

/// Writes an acknowledgement.
void encode(serving::acknowledgement const& value, Acknowledgement::Builder wire);

/// Reads an acknowledgement.
void decode(Acknowledgement::Reader wire, serving::acknowledgement& value);

/// Writes a cell grant request.
void encode(serving::cell_grant_request const& value, GrantRequest::Builder wire);

/// Reads a cell grant request.
void decode(GrantRequest::Reader wire, serving::cell_grant_request& value);

/// Writes a cell grant reply.
void encode(serving::cell_grant_reply const& value, GrantReply::Builder wire);

/// Reads a cell grant reply.
void decode(GrantReply::Reader wire, serving::cell_grant_reply& value);

/// Writes a cell release.
void encode(serving::cell_release const& value, ReleaseReport::Builder wire);

/// Reads a cell release.
void decode(ReleaseReport::Reader wire, serving::cell_release& value);

/// Writes a grant recall.
void encode(grant_recall const& value, GrantRecall::Builder wire);

/// Reads a grant recall.
void decode(GrantRecall::Reader wire, grant_recall& value);

/// Writes a held grant.
void encode(held_grant const& value, HeldGrant::Builder wire);

/// Reads a held grant.
void decode(HeldGrant::Reader wire, held_grant& value);

/// Writes a grant list.
void encode(grant_list const& value, GrantList::Builder wire);

/// Reads a grant list.
void decode(GrantList::Reader wire, grant_list& value);

} // namespace marjorampath::schema
