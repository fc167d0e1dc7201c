#include <marjorampath/key/key_backup.hpp>

#include <algorithm>

namespace marjorampath
{

key_backup::key_backup(host_id self, key_memory& memory) : self_(self), memory_(memory) {}

key_copy_reply key_backup::on_copy(time_point now, key_copy const& copy)
{
    auto& shard = shards_[copy.shard];
    key_copy_reply reply{.shard = copy.shard,
                         .key = copy.record.key,
                         .request = copy.record.request,
                         .backup = self_,
                         .accepted = false,
                         .fencing_number = shard.number};

    // A copy counts only on top of a complete snapshot of the same term
    if (copy.fencing_number < shard.number || copy.fencing_number != shard.synced_number)
        return reply;
    reply.accepted = memory_.merge(now, copy.shard, copy.record);
    return reply;
}

key_snapshot_reply key_backup::on_snapshot(time_point now, key_snapshot const& part)
{
    auto& shard = shards_[part.shard];
    key_snapshot_reply reply{.shard = part.shard,
                             .backup = self_,
                             .fencing_number = part.fencing_number,
                             .part = part.part,
                             .accepted = false};
    if (part.fencing_number < shard.number)
        return reply;
    shard.number = part.fencing_number;
    if (shard.snapshot_number != part.fencing_number)
    {
        shard.snapshot_number = part.fencing_number;
        shard.next_part = 0;
    }

    // Parts are taken in order; one that was taken before is acknowledged again
    if (part.part > shard.next_part)
        return reply;
    reply.accepted = true;
    if (part.part < shard.next_part)
        return reply;
    for (auto const& record : part.records)
        reply.accepted = memory_.merge(now, part.shard, record) && reply.accepted;
    if (!reply.accepted)
        return reply;
    ++shard.next_part;
    if (part.last)
        set_synced(now, part.shard, part.fencing_number, part.gap);
    return reply;
}

void key_backup::set_synced(time_point now, resource_id shard,
                            std::uint64_t fencing_number, key_gap gap)
{
    auto& state = shards_[shard];
    state.number = std::max(state.number, fencing_number);
    state.synced_number = fencing_number;
    state.gap = gap;
    state.gap_at = now;
}

key_recovery_reply key_backup::on_recovery_request(time_point now,
                                                   key_recovery_request const& request,
                                                   std::uint64_t incarnation)
{
    auto& shard = shards_[request.shard];
    key_recovery_reply reply{.shard = request.shard,
                             .host = self_,
                             .incarnation = incarnation,
                             .fencing_number = request.fencing_number,
                             .refused = request.fencing_number < shard.number,
                             .known_number = shard.number,
                             .synced_number = shard.synced_number,
                             .gap = shard.gap,
                             .records = {}};
    if (reply.refused)
        return reply;
    shard.number = request.fencing_number;
    reply.gap.remaining =
        std::max(duration{0}, shard.gap.remaining - (now - shard.gap_at));
    reply.records = memory_.records_of(now, request.shard);
    return reply;
}

} // namespace marjorampath
