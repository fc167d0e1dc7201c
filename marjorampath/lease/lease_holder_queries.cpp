#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/lease/lease_holder.hpp>

namespace marjorampath
{

std::optional<std::uint64_t> lease_holder::fencing_number_for_order(resource_id resource,
                                                                    time_point now) const
{
    auto const found = claims_.find(resource);
    if (found == claims_.end() || !found->second.held)
        return std::nullopt;

    // The control thread itself may have paused since its last tick
    if (!last_tick_ || now - *last_tick_ > options_.tick_gap)
        return std::nullopt;
    if (found->second.confirmed_until(witnesses_, options_.quorum()) <= now)
        return std::nullopt;
    return found->second.fencing_number();
}

lease_status lease_holder::hold_status(resource_id resource, time_point now) const
{
    if (fencing_number_for_order(resource, now))
        return lease_status::held;
    auto const found = claims_.find(resource);
    auto const lapsed = found != claims_.end() && found->second.held_last;
    return lapsed ? lease_status::lapsed : lease_status::none;
}

host_id lease_holder::owner_hint(resource_id resource, time_point now) const
{
    auto const found = claims_.find(resource);
    if (found == claims_.end())
        return {};
    if (fencing_number_for_order(resource, now))
        return self_;
    auto const hinted = found->second.hinted_holder;
    if (hinted && hinted != self_ && candidates_.contains(hinted))
        return hinted;
    return found->second.preferred;
}

host_id lease_holder::preferred(leased_resource const& resource, host_id excluded) const
{
    host_id best;
    for (auto const& [host, zone] : candidates_)
    {
        if (host == excluded || (leaving_ && host == self_))
            continue;
        if (!best || goes_before(resource, host, best))
            best = host;
    }
    return best;
}

bool lease_holder::goes_before(leased_resource const& resource, host_id left,
                               host_id right) const
{
    auto const in_zone = [&](host_id host)
    {
        auto const found = candidates_.find(host);
        return found != candidates_.end() && found->second == resource.zone;
    };
    auto const left_in_zone = in_zone(left);
    if (left_in_zone != in_zone(right))
        return left_in_zone;
    auto const left_weight = rendezvous_weight(resource.resource, left);
    auto const right_weight = rendezvous_weight(resource.resource, right);
    return left_weight != right_weight ? left_weight > right_weight : left > right;
}

} // namespace marjorampath
