#include <serving/fleet/fleet_peers.hpp>

#include <set>

namespace marjorampath::serving
{

namespace
{

void add(stream_traffic& sum, stream_traffic const& more) noexcept
{
    sum.received += more.received;
    sum.sent += more.sent;
}

} // namespace

fleet_peers::fleet_peers(boost::asio::io_context& control, options chosen,
                         std::function<node_hello()> self)
    : control_(control), options_(std::move(chosen)), self_(std::move(self))
{
}

void fleet_peers::update(std::vector<host_entry> const& hosts)
{
    auto const self = self_();
    std::set<host_id> listed;
    for (auto const& entry : hosts)
    {
        auto const host = host_id::of(entry.name);
        if (entry.role != host_role::entry || entry.region != options_.region ||
            host == self.host)
            continue;
        listed.insert(host);

        // A host that came back under another address gets a new link
        auto& link = links_[host];
        if (link && link->address() == entry.address)
            continue;
        if (link)
            link->close();
        link = std::make_shared<peer_link>(control_,
                                           peer_link::options{.address = entry.address,
                                                              .peer = host,
                                                              .self = self,
                                                              .tls = options_.tls});
    }

    for (auto entry = links_.begin(); entry != links_.end();)
    {
        if (listed.contains(entry->first))
        {
            ++entry;
            continue;
        }
        add(past_, entry->second->traffic());
        entry->second->close();
        entry = links_.erase(entry);
    }
}

void fleet_peers::cancel(host_id to, call_number number)
{
    auto const found = links_.find(to);
    if (found != links_.end() && number != 0)
        found->second->cancel(number);
}

void fleet_peers::close()
{
    for (auto const& [host, link] : links_)
        link->close();
}

stream_traffic fleet_peers::traffic() const noexcept
{
    auto sum = past_;
    for (auto const& [host, link] : links_)
        add(sum, link->traffic());
    return sum;
}

} // namespace marjorampath::serving
