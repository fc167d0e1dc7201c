#include <serving/fleet/fleet_peers.hpp>

#include <set>

namespace marjorampath::serving
{

namespace
{

void add(stream_traffic& sum, stream_traffic const& other) noexcept
{
    sum.received += other.received;
    sum.sent += other.sent;
}

} // namespace

fleet_peers::fleet_peers(boost::asio::io_context& control, options chosen,
                         std::function<node_hello()> make_hello)
    : control_(control), options_(std::move(chosen)), make_hello_(std::move(make_hello))
{
}

void fleet_peers::update(std::vector<host_entry> const& hosts)
{
    auto const hello = make_hello_();
    std::set<host_id> listed;
    for (auto const& entry : hosts)
    {
        auto const host = host_id::of(entry.name);
        if (entry.role != host_role::entry || entry.region != options_.region ||
            host == hello.host)
            continue;
        listed.insert(host);

        // A host whose address changed gets a new link
        auto& link = links_[host];
        if (link && link->address() == entry.address)
            continue;
        if (link)
            link->close();
        link = std::make_shared<peer_link>(control_,
                                           peer_link::options{.address = entry.address,
                                                              .peer = host,
                                                              .self = hello,
                                                              .tls = options_.tls});
    }

    for (auto entry = links_.begin(); entry != links_.end();)
    {
        if (listed.contains(entry->first))
        {
            ++entry;
            continue;
        }
        add(closed_traffic_, entry->second->traffic());
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
    auto sum = closed_traffic_;
    for (auto const& [host, link] : links_)
        add(sum, link->traffic());
    return sum;
}

} // namespace marjorampath::serving
