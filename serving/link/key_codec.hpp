#pragma once

#include <marjorampath/key/key_begin.hpp>
#include <marjorampath/key/key_begin_reply.hpp>
#include <marjorampath/key/key_complete.hpp>
#include <marjorampath/key/key_complete_reply.hpp>
#include <marjorampath/key/key_copy.hpp>
#include <marjorampath/key/key_copy_reply.hpp>
#include <marjorampath/key/key_gap.hpp>
#include <marjorampath/key/key_recovery_reply.hpp>
#include <marjorampath/key/key_recovery_request.hpp>
#include <marjorampath/key/key_snapshot.hpp>
#include <marjorampath/key/key_snapshot_reply.hpp>
#include <schema/node.capnp.h>

namespace marjorampath::schema
{

/// Writes a key begin.
void encode(key_begin const& value, KeyBegin::Builder wire);

/// Reads a key begin.
void decode(KeyBegin::Reader wire, key_begin& value);

/// Writes a key begin reply.
void encode(key_begin_reply const& value, KeyBeginReply::Builder wire);

/// Reads a key begin reply.
void decode(KeyBeginReply::Reader wire, key_begin_reply& value);

/// Writes a key complete.
void encode(key_complete const& value, KeyComplete::Builder wire);

/// Reads a key complete.
void decode(KeyComplete::Reader wire, key_complete& value);

/// Writes a key complete reply.
void encode(key_complete_reply const& value, KeyCompleteReply::Builder wire);

/// Reads a key complete reply.
void decode(KeyCompleteReply::Reader wire, key_complete_reply& value);

/// Writes a key record.
void encode(key_record const& value, KeyRecord::Builder wire);

/// Reads a key record.
void decode(KeyRecord::Reader wire, key_record& value);

/// Writes a key copy.
void encode(key_copy const& value, KeyCopy::Builder wire);

/// Reads a key copy.
void decode(KeyCopy::Reader wire, key_copy& value);

/// Writes a key copy reply.
void encode(key_copy_reply const& value, KeyCopyReply::Builder wire);

/// Reads a key copy reply.
void decode(KeyCopyReply::Reader wire, key_copy_reply& value);

/// Writes a key recovery request.
void encode(key_recovery_request const& value, KeyRecoveryRequest::Builder wire);

/// Reads a key recovery request.
void decode(KeyRecoveryRequest::Reader wire, key_recovery_request& value);

/// Writes a key recovery reply.
void encode(key_recovery_reply const& value, KeyRecoveryReply::Builder wire);

/// Reads a key recovery reply.
void decode(KeyRecoveryReply::Reader wire, key_recovery_reply& value);

/// Writes a key gap.
void encode(key_gap const& value, KeyGap::Builder wire);

/// Reads a key gap.
void decode(KeyGap::Reader wire, key_gap& value);

/// Writes a key snapshot.
void encode(key_snapshot const& value, KeySnapshot::Builder wire);

/// Reads a key snapshot.
void decode(KeySnapshot::Reader wire, key_snapshot& value);

/// Writes a key snapshot reply.
void encode(key_snapshot_reply const& value, KeySnapshotReply::Builder wire);

/// Reads a key snapshot reply.
void decode(KeySnapshotReply::Reader wire, key_snapshot_reply& value);

} // namespace marjorampath::schema
