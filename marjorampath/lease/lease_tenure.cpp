#include <marjorampath/lease/lease_action.hpp>
#include <marjorampath/lease/lease_holder.hpp>
#include <marjorampath/lease/lease_tenure.hpp>

namespace marjorampath
{

void lease_tenure::on_tick(lease_holder const& holder, time_point now)
{
    for (auto& [resource, last] : tenures_)
        if (holder.fencing_number_for_order(resource, now))
            last.held_until = now;
}

bool lease_tenure::on_acquired(lease_acquired const& lease, time_point now)
{
    auto& last = tenures_[lease.resource];
    auto const continued = last.fencing_number != 0 &&
                           lease.previous_number == last.fencing_number &&
                           now - last.held_until <= max_gap_;
    last = {.fencing_number = lease.fencing_number, .held_until = now};
    return continued;
}

} // namespace marjorampath
