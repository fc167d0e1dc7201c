#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/gossip/sheet_spread.hpp>
#include <marjorampath/lease/witness_choice.hpp>

#include <algorithm>

namespace marjorampath
{

sheet_spread::sheet_spread(host_id self, sheet_spread_options options, time_point now)
    : self_(self), options_(options), started_(now)
{
}

void sheet_spread::set_hosts(std::span<known_host const> hosts)
{
    hosts_.clear();
    for (auto const& host : hosts)
    {
        if (host.record.state <= host_state::leaving)
            hosts_.push_back(host.record);
    }
    std::sort(hosts_.begin(), hosts_.end(), older);
}

bool sheet_spread::is_reader() const
{
    // Hosts without a known incarnation cannot be ranked by age and are no readers
    std::size_t rank = 0;
    for (auto const& host : hosts_)
    {
        if (host.incarnation == 0 || host.state != host_state::alive)
            continue;
        if (rank++ >= options_.readers)
            return false;
        if (host.host == self_)
            return true;
    }
    return false;
}

void sheet_spread::on_tick(time_point now, sheet_spread_actions& actions)
{
    if (!startup_done_)
        check_startup(now, actions);
    auto const reads_directly =
        number_ == 0 && now - started_ > options_.direct_read_delay;
    auto const watch = startup_done_ && (is_reader() || reads_directly);
    if (watch != watching_)
    {
        watching_ = watch;
        actions.push_back(watch_configuration{.on = watch});
    }
    if (pending_peer_ && now >= pending_until_)
    {
        newer_peers_.erase(pending_peer_);
        pending_peer_ = {};
    }
    request_from_next_peer(now, actions);
}

void sheet_spread::check_startup(time_point now, sheet_spread_actions& actions)
{
    // Each host has its own order of peers, which spreads the load of starting hosts
    std::vector<host_id> peers;
    for (auto const& host : hosts_)
    {
        if (host.host != self_)
            peers.push_back(host.host);
    }
    auto const order = rendezvous_order<host_tag, host_tag>(self_, peers);
    for (auto const& peer : order)
    {
        if (startup_peers_.size() >= options_.startup_peers)
            break;
        if (startup_peers_.emplace(peer, false).second)
            actions.push_back(request_sheet_from_peer{.peer = peer});
    }
    auto const all_replied = !startup_peers_.empty() &&
                             std::all_of(startup_peers_.begin(), startup_peers_.end(),
                                         [](auto const& entry) { return entry.second; });
    startup_done_ =
        number_ != 0 || all_replied || now - started_ >= options_.startup_wait;
}

void sheet_spread::on_peer_number(time_point now, host_id peer, std::uint64_t number,
                                  std::uint64_t digest, sheet_spread_actions& actions)
{
    if (number == number_ && number != 0 && digest != digest_ &&
        reported_conflict_ != number)
    {
        reported_conflict_ = number;
        actions.push_back(sheet_conflict{.number = number});
    }
    if (number <= number_ || peer == self_)
        return;
    newer_peers_[peer] = number;
    request_from_next_peer(now, actions);
}

void sheet_spread::on_peer_request_done(time_point now, host_id peer,
                                        sheet_spread_actions& actions)
{
    if (auto const first = startup_peers_.find(peer); first != startup_peers_.end())
        first->second = true;
    if (peer != pending_peer_)
        return;
    newer_peers_.erase(peer);
    pending_peer_ = {};
    request_from_next_peer(now, actions);
}

void sheet_spread::request_from_next_peer(time_point now, sheet_spread_actions& actions)
{
    std::erase_if(newer_peers_,
                  [&](auto const& entry) { return entry.second <= number_; });
    if (pending_peer_ || newer_peers_.empty())
        return;

    // Prefer the highest number, then this host's own order of peers to spread the load
    auto const newest = std::max_element(newer_peers_.begin(), newer_peers_.end(),
                                         [&](auto const& left, auto const& right)
                                         {
                                             if (left.second != right.second)
                                                 return left.second < right.second;
                                             return rendezvous_weight(self_, left.first) <
                                                    rendezvous_weight(self_, right.first);
                                         });
    pending_peer_ = newest->first;
    pending_until_ = now + options_.peer_timeout;
    actions.push_back(request_sheet_from_peer{.peer = pending_peer_});
}

void sheet_spread::on_sheet_checked(std::uint64_t number, std::uint64_t digest,
                                    sheet_spread_actions& actions)
{
    if (number <= number_)
        return;
    number_ = number;
    digest_ = digest;
    actions.push_back(install_sheet{.number = number, .digest = digest});
}

} // namespace marjorampath
