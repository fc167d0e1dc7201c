#include <marjorampath/gossip/gossip_board.hpp>

#include <algorithm>

namespace marjorampath
{

namespace
{

// Encoded bytes of each kind of news, as in message_size.cpp
constexpr std::size_t hint_bytes = 24;
constexpr std::size_t conviction_bytes = 40;
constexpr std::size_t release_bytes = 24;

// Takes the next news of a list in turn, as many as fit into the room
template <class News>
std::size_t take_turns(std::vector<News> const& from, std::size_t& next, std::size_t room,
                       std::vector<News>& to)
{
    auto const count = std::min(room, from.size());
    for (std::size_t taken = 0; taken < count; ++taken)
        to.push_back(from[(next + taken) % from.size()]);
    next = from.empty() ? 0 : (next + count) % from.size();
    return count;
}

} // namespace

gossip_board::gossip_board(std::size_t budget, std::uint32_t sends)
    : budget_(budget), sends_(sends)
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

void gossip_board::fill(gossip& news, std::uint64_t sheet_number,
                        std::uint64_t sheet_digest,
                        std::vector<conviction> const& convictions,
                        std::vector<conviction_release> const& releases)
{
    news.sheet_number = sheet_number;
    news.sheet_digest = sheet_digest;
    auto room = budget_;
    room -= conviction_bytes * take_turns(convictions, next_conviction_,
                                          room / conviction_bytes, news.convictions);
    room -= release_bytes *
            take_turns(releases, next_release_, room / release_bytes, news.releases);
    for (auto& [resource, known] : hints_)
    {
        if (room < hint_bytes)
            return;
        if (known.sends_left == 0)
            continue;
        --known.sends_left;
        room -= hint_bytes;
        news.leases.push_back(known.hint);
    }
}

} // namespace marjorampath
