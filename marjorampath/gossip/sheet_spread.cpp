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
    // Hosts that nothing was heard of have no incarnation and are no readers
    std::size_t place = 0;
    for (auto const& host : hosts_)
    {
        if (host.incarnation == 0 || host.state != host_state::alive)
            continue;
        if (place++ >= options_.readers)
            return false;
        if (host.host == self_)
            return true;
    }
    return false;
}

void sheet_spread::on_tick(time_point now, sheet_spread_actions& actions)
{
    if (!started_up_)
        start_up(now, actions);
    auto const desperate = number_ == 0 && now - started_ > options_.direct_read_delay;
    auto const watch = started_up_ && (is_reader() || desperate);
    if (watch != watching_)
    {
        watching_ = watch;
        actions.push_back(watch_configuration{.on = watch});
    }
    if (asked_ && now >= asked_until_)
    {
        higher_.erase(asked_);
        asked_ = {};
    }
    ask_next(now, actions);
}

void sheet_spread::start_up(time_point now, sheet_spread_actions& actions)
{
    // Each starting host asks others of the peers, by its own order
    std::vector<host_id> peers;
    for (auto const& host : hosts_)
    {
        if (host.host != self_)
            peers.push_back(host.host);
    }
    auto const order = rendezvous_order<host_tag, host_tag>(self_, peers);
    for (auto const& peer : order)
    {
        if (first_peers_.size() >= options_.startup_peers)
            break;
        if (first_peers_.emplace(peer, false).second)
            actions.push_back(request_sheet_from_peer{.peer = peer});
    }
    auto const all_answered = !first_peers_.empty() &&
                              std::all_of(first_peers_.begin(), first_peers_.end(),
                                          [](auto const& entry) { return entry.second; });
    started_up_ = number_ != 0 || all_answered || now - started_ >= options_.startup_wait;
}

void sheet_spread::on_peer_number(time_point now, host_id peer, std::uint64_t number,
                                  std::uint64_t digest, sheet_spread_actions& actions)
{
    if (number == number_ && number != 0 && digest != digest_ && conflict_ != number)
    {
        conflict_ = number;
        actions.push_back(sheet_conflict{.number = number});
    }
    if (number <= number_ || peer == self_)
        return;
    higher_[peer] = number;
    ask_next(now, actions);
}

void sheet_spread::on_peer_request_done(time_point now, host_id peer,
                                        sheet_spread_actions& actions)
{
    if (auto const first = first_peers_.find(peer); first != first_peers_.end())
        first->second = true;
    if (peer != asked_)
        return;
    higher_.erase(peer);
    asked_ = {};
    ask_next(now, actions);
}

void sheet_spread::ask_next(time_point now, sheet_spread_actions& actions)
{
    std::erase_if(higher_, [&](auto const& entry) { return entry.second <= number_; });
    if (asked_ || higher_.empty())
        return;

    // The highest number first; equal ones by this host's own order, which spreads load
    auto const best = std::max_element(higher_.begin(), higher_.end(),
                                       [&](auto const& left, auto const& right)
                                       {
                                           if (left.second != right.second)
                                               return left.second < right.second;
                                           return rendezvous_weight(self_, left.first) <
                                                  rendezvous_weight(self_, right.first);
                                       });
    asked_ = best->first;
    asked_until_ = now + options_.peer_timeout;
    actions.push_back(request_sheet_from_peer{.peer = asked_});
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
