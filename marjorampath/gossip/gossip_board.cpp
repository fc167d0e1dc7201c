#include <marjorampath/gossip/gossip_board.hpp>

#include <algorithm>

namespace marjorampath
{

namespace
{

// Encoded size of one record of each kind, in bytes; must match message_size.cpp
constexpr std::size_t hint_bytes = 24;
constexpr std::size_t conviction_bytes = 40;
constexpr std::size_t release_bytes = 24;

// Appends up to `limit` records in round-robin order from `next` on; returns their number
template <class Record>
std::size_t append_round_robin(std::vector<Record> const& from, std::size_t& next,
                               std::size_t limit, std::vector<Record>& to)
{
    auto const count = std::min(limit, from.size());
    for (std::size_t appended = 0; appended < count; ++appended)
        to.push_back(from[(next + appended) % from.size()]);
    next = from.empty() ? 0 : (next + count) % from.size();
    return count;
}

} // namespace

gossip_board::gossip_board(std::size_t max_bytes, std::uint32_t sends)
    : max_bytes_(max_bytes), sends_(sends)
{
}

bool gossip_board::on_hint(lease_hint const& hint)
{
    auto& known = hints_[hint.resource];
    if (hint.fencing_number <= known.hint.fencing_number)
        return false;
    known = {.hint = hint, .sends_left = sends_};
    return true;
}

lease_hint const* gossip_board::find(resource_id resource) const
{
    auto const found = hints_.find(resource);
    return found != hints_.end() ? &found->second.hint : nullptr;
}

void gossip_board::fill(gossip& updates, std::uint64_t sheet_number,
                        std::uint64_t sheet_digest,
                        std::vector<conviction> const& convictions,
                        std::vector<conviction_release> const& releases)
{
    updates.sheet_number = sheet_number;
    updates.sheet_digest = sheet_digest;
    auto bytes_left = max_bytes_;
    bytes_left -= conviction_bytes * append_round_robin(convictions, next_conviction_,
                                                        bytes_left / conviction_bytes,
                                                        updates.convictions);
    bytes_left -=
        release_bytes * append_round_robin(releases, next_release_,
                                           bytes_left / release_bytes, updates.releases);
    for (auto& [resource, known] : hints_)
    {
        if (bytes_left < hint_bytes)
            return;
        if (known.sends_left == 0)
            continue;
        --known.sends_left;
        bytes_left -= hint_bytes;
        updates.leases.push_back(known.hint);
    }
}

} // namespace marjorampath
