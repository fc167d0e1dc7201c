#include <marjorampath/lease/takeover_guard.hpp>

#include <algorithm>

namespace marjorampath
{

takeover_guard::takeover_guard(resource_id cell, host_id owner,
                               std::uint64_t fencing_number, takeover_options options,
                               time_point now)
    : cell_(cell), owner_(owner), fencing_number_(fencing_number), options_(options),
      started_(now), ask_at_(now)
{
}

void takeover_guard::set_hosts(std::span<known_host const> hosts)
{
    // A host that is no longer known stays: what it sent may still run
    for (auto const& host : hosts)
        registered_.try_emplace(host.record.host, false);
}

bool takeover_guard::on_grant_list(grant_list const& registration)
{
    if (registration.cell != cell_ || registration.fencing_number != fencing_number_)
        return false;
    registered_[registration.entry] = true;
    return true;
}

std::vector<host_id> takeover_guard::take_hosts_to_query(time_point now)
{
    std::vector<host_id> asked;
    if (now < ask_at_ || now - started_ > options_.longest_deadline)
        return asked;
    ask_at_ = now + options_.resend;
    for (auto const& [host, done] : registered_)
    {
        if (!done)
            asked.push_back(host);
    }
    return asked;
}

grant_recall takeover_guard::recall() const noexcept
{
    return {.cell = cell_, .owner = owner_, .fencing_number = fencing_number_};
}

bool takeover_guard::may_evict(time_point now) const noexcept
{
    if (now - started_ > options_.longest_deadline)
        return true;
    return !registered_.empty() && missing() == 0;
}

std::size_t takeover_guard::missing() const noexcept
{
    return static_cast<std::size_t>(std::count_if(registered_.begin(), registered_.end(),
                                                  [](auto const& entry)
                                                  { return !entry.second; }));
}

} // namespace marjorampath
