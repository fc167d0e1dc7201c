#pragma once

#include <marjorampath/lease/lease_release.hpp>
#include <marjorampath/lease/lease_reply.hpp>
#include <marjorampath/lease/lease_request.hpp>
#include <schema/node.capnp.h>

namespace marjorampath::schema
{

/// Writes a lease want.
void encode(lease_want const& value, LeaseWant::Builder wire);

/// Reads a lease want.
void decode(LeaseWant::Reader wire, lease_want& value);

/// Writes a lease request.
void encode(lease_request const& value, LeaseRequest::Builder wire);

/// Reads a lease request.
void decode(LeaseRequest::Reader wire, lease_request& value);

/// Writes a lease verdict.
void encode(lease_verdict const& value, LeaseVerdict::Builder wire);

/// Reads a lease verdict.
void decode(LeaseVerdict::Reader wire, lease_verdict& value);

/// Writes a lease reply.
void encode(lease_reply const& value, LeaseReply::Builder wire);

/// Reads a lease reply.
void decode(LeaseReply::Reader wire, lease_reply& value);

/// Writes a lease release.
void encode(lease_release const& value, LeaseRelease::Builder wire);

/// Reads a lease release.
void decode(LeaseRelease::Reader wire, lease_release& value);

} // namespace marjorampath::schema
