#include <marjorampath/lease/witness_activation.hpp>
#include <marjorampath/lease/witness_choice.hpp>

#include <algorithm>

namespace marjorampath
{

witness_activation::witness_activation(lease_options options)
    : options_(std::move(options))
{
}

void witness_activation::update(time_point now, host_id self,
                                std::span<known_host const> hosts)
{
    if (!conditions_hold(self, hosts))
        return since_.reset();
    if (!since_)
        since_ = now;
}

void witness_activation::reset() noexcept
{
    since_.reset();
}

bool witness_activation::active(time_point now) const noexcept
{
    return since_ && now - *since_ >= options_.settle;
}

duration witness_activation::active_in(time_point now) const noexcept
{
    if (!since_ || active(now))
        return duration{0};
    return *since_ + options_.settle - now;
}

bool witness_activation::conditions_hold(host_id self,
                                         std::span<known_host const> hosts) const
{
    auto const own =
        std::find_if(hosts.begin(), hosts.end(),
                     [&](auto const& host) { return host.record.host == self; });
    if (own == hosts.end() || !own->listed || own->record.incarnation == 0)
        return false;
    if (std::find(options_.zones.begin(), options_.zones.end(), own->record.zone) ==
        options_.zones.end())
        return false;

    std::uint32_t older_hosts = 0;
    for (auto const& host : hosts)
    {
        auto const other_zone = host.record.zone != own->record.zone;
        if (host.record.host == self || other_zone || host.gone())
            continue;

        // A host that is not incarnations_exchanged may be older and may not know this
        // one
        auto const certainly_younger =
            host.record.incarnation != 0 && older(own->record, host.record);
        if (!host.incarnations_exchanged &&
            (options_.wait_for_younger || !certainly_younger))
            return false;
        if (older(host.record, own->record))
            ++older_hosts;
    }
    return older_hosts < options_.witnesses_per_zone;
}

} // namespace marjorampath
