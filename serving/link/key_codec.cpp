#include <serving/link/codec.hpp>
#include <serving/link/key_codec.hpp>

namespace marjorampath::schema
{

namespace
{

void encode_key_time(std::optional<wall_milliseconds> value, KeyTime::Builder wire)
{
    wire.setPresent(value.has_value());
    wire.setWallMilliseconds(value.value_or(wall_milliseconds(0)).count());
}

std::optional<wall_milliseconds> decode_key_time(KeyTime::Reader wire)
{
    if (!wire.getPresent())
        return std::nullopt;
    return decode_wall(wire.getWallMilliseconds());
}

} // namespace

void encode(key_begin const& value, KeyBegin::Builder wire)
{
    wire.setShard(value.shard.number());
    wire.setKey(value.key.number());
    wire.setFingerprint(value.fingerprint.number());
    wire.setRequest(value.request.number());
    wire.setEntry(value.entry.number());
    encode_key_time(value.key_time, wire.initKeyTime());
}

void decode(KeyBegin::Reader wire, key_begin& value)
{
    decode(wire.getShard(), value.shard);
    decode(wire.getKey(), value.key);
    decode(wire.getFingerprint(), value.fingerprint);
    decode(wire.getRequest(), value.request);
    decode(wire.getEntry(), value.entry);
    value.key_time = decode_key_time(wire.getKeyTime());
}

void encode(key_begin_reply const& value, KeyBeginReply::Builder wire)
{
    wire.setShard(value.shard.number());
    wire.setKey(value.key.number());
    wire.setRequest(value.request.number());
    wire.setAttempt(value.attempt);
    wire.setVerdict(encode_enum<KeyVerdict>(value.verdict));
    wire.setAnswer(encode_bytes(value.answer));
    wire.setHome(value.home.number());
    wire.setBackup(value.backup.number());
    wire.setFencingNumber(value.fencing_number);
}

void decode(KeyBeginReply::Reader wire, key_begin_reply& value)
{
    decode(wire.getShard(), value.shard);
    decode(wire.getKey(), value.key);
    decode(wire.getRequest(), value.request);
    value.attempt = wire.getAttempt();
    value.verdict = decode_enum(wire.getVerdict(), key_verdict::unavailable);
    value.answer = decode_bytes(wire.getAnswer());
    decode(wire.getHome(), value.home);
    decode(wire.getBackup(), value.backup);
    value.fencing_number = wire.getFencingNumber();
}

void encode(key_complete const& value, KeyComplete::Builder wire)
{
    wire.setShard(value.shard.number());
    wire.setKey(value.key.number());
    wire.setRequest(value.request.number());
    wire.setEntry(value.entry.number());
    wire.setState(encode_enum<KeyState>(value.state));
    wire.setAnswer(encode_bytes(value.answer));
}

void decode(KeyComplete::Reader wire, key_complete& value)
{
    decode(wire.getShard(), value.shard);
    decode(wire.getKey(), value.key);
    decode(wire.getRequest(), value.request);
    decode(wire.getEntry(), value.entry);
    value.state = decode_enum(wire.getState(), key_state::not_run);
    value.answer = decode_bytes(wire.getAnswer());
}

void encode(key_complete_reply const& value, KeyCompleteReply::Builder wire)
{
    wire.setShard(value.shard.number());
    wire.setKey(value.key.number());
    wire.setRequest(value.request.number());
    wire.setAccepted(value.accepted);
}

void decode(KeyCompleteReply::Reader wire, key_complete_reply& value)
{
    decode(wire.getShard(), value.shard);
    decode(wire.getKey(), value.key);
    decode(wire.getRequest(), value.request);
    value.accepted = wire.getAccepted();
}

void encode(key_record const& value, KeyRecord::Builder wire)
{
    wire.setKey(value.key.number());
    wire.setFingerprint(value.fingerprint.number());
    wire.setRequest(value.request.number());
    wire.setAttempt(value.attempt);
    wire.setEntry(value.entry.number());
    wire.setState(encode_enum<KeyState>(value.state));
    encode_key_time(value.key_time, wire.initKeyTime());
    wire.setAnswer(encode_bytes(value.answer));
    wire.setAge(encode_duration(value.age));
}

void decode(KeyRecord::Reader wire, key_record& value)
{
    decode(wire.getKey(), value.key);
    decode(wire.getFingerprint(), value.fingerprint);
    decode(wire.getRequest(), value.request);
    value.attempt = wire.getAttempt();
    decode(wire.getEntry(), value.entry);
    value.state = decode_enum(wire.getState(), key_state::not_run);
    value.key_time = decode_key_time(wire.getKeyTime());
    value.answer = decode_bytes(wire.getAnswer());
    value.age = decode_duration(wire.getAge());
}

void encode(key_copy const& value, KeyCopy::Builder wire)
{
    wire.setShard(value.shard.number());
    wire.setHome(value.home.number());
    wire.setFencingNumber(value.fencing_number);
    encode(value.record, wire.initRecord());
}

void decode(KeyCopy::Reader wire, key_copy& value)
{
    decode(wire.getShard(), value.shard);
    decode(wire.getHome(), value.home);
    value.fencing_number = wire.getFencingNumber();
    decode(wire.getRecord(), value.record);
}

void encode(key_copy_reply const& value, KeyCopyReply::Builder wire)
{
    wire.setShard(value.shard.number());
    wire.setKey(value.key.number());
    wire.setRequest(value.request.number());
    wire.setBackup(value.backup.number());
    wire.setAccepted(value.accepted);
    wire.setFencingNumber(value.fencing_number);
}

void decode(KeyCopyReply::Reader wire, key_copy_reply& value)
{
    decode(wire.getShard(), value.shard);
    decode(wire.getKey(), value.key);
    decode(wire.getRequest(), value.request);
    decode(wire.getBackup(), value.backup);
    value.accepted = wire.getAccepted();
    value.fencing_number = wire.getFencingNumber();
}

void encode(key_recovery_request const& value, KeyRecoveryRequest::Builder wire)
{
    wire.setShard(value.shard.number());
    wire.setHome(value.home.number());
    wire.setFencingNumber(value.fencing_number);
}

void decode(KeyRecoveryRequest::Reader wire, key_recovery_request& value)
{
    decode(wire.getShard(), value.shard);
    decode(wire.getHome(), value.home);
    value.fencing_number = wire.getFencingNumber();
}

void encode(key_recovery_reply const& value, KeyRecoveryReply::Builder wire)
{
    wire.setShard(value.shard.number());
    wire.setHost(value.host.number());
    wire.setIncarnation(value.incarnation);
    wire.setFencingNumber(value.fencing_number);
    wire.setRefused(value.refused);
    wire.setKnownNumber(value.known_number);
    wire.setSyncedNumber(value.synced_number);
    encode(value.gap, wire.initGap());
    encode_list(value.records, wire.initRecords(wire_size(value.records)));
}

void decode(KeyRecoveryReply::Reader wire, key_recovery_reply& value)
{
    decode(wire.getShard(), value.shard);
    decode(wire.getHost(), value.host);
    value.incarnation = wire.getIncarnation();
    value.fencing_number = wire.getFencingNumber();
    value.refused = wire.getRefused();
    value.known_number = wire.getKnownNumber();
    value.synced_number = wire.getSyncedNumber();
    decode(wire.getGap(), value.gap);
    decode_list(wire.getRecords(), value.records);
}

void encode(key_gap const& value, KeyGap::Builder wire)
{
    wire.setRemaining(encode_duration(value.remaining));
    wire.setCompleteFrom(value.complete_from.count());
}

void decode(KeyGap::Reader wire, key_gap& value)
{
    value.remaining = decode_duration(wire.getRemaining());
    value.complete_from = decode_wall(wire.getCompleteFrom());
}

void encode(key_snapshot const& value, KeySnapshot::Builder wire)
{
    wire.setShard(value.shard.number());
    wire.setHome(value.home.number());
    wire.setFencingNumber(value.fencing_number);
    wire.setPart(value.part);
    wire.setLast(value.last);
    encode(value.gap, wire.initGap());
    encode_list(value.records, wire.initRecords(wire_size(value.records)));
}

void decode(KeySnapshot::Reader wire, key_snapshot& value)
{
    decode(wire.getShard(), value.shard);
    decode(wire.getHome(), value.home);
    value.fencing_number = wire.getFencingNumber();
    value.part = wire.getPart();
    value.last = wire.getLast();
    decode(wire.getGap(), value.gap);
    decode_list(wire.getRecords(), value.records);
}

void encode(key_snapshot_reply const& value, KeySnapshotReply::Builder wire)
{
    wire.setShard(value.shard.number());
    wire.setBackup(value.backup.number());
    wire.setFencingNumber(value.fencing_number);
    wire.setPart(value.part);
    wire.setAccepted(value.accepted);
}

void decode(KeySnapshotReply::Reader wire, key_snapshot_reply& value)
{
    decode(wire.getShard(), value.shard);
    decode(wire.getBackup(), value.backup);
    value.fencing_number = wire.getFencingNumber();
    value.part = wire.getPart();
    value.accepted = wire.getAccepted();
}

} // namespace marjorampath::schema
