#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <map>

namespace marjorampath
{

class lease_holder;
struct lease_acquired;

/// Decides whether a host that acquires a lease again may go on by what it knew of the
/// resource.
///
/// That the witnesses know of no holder in between proves it only if they were up
/// meanwhile: those that have just started know of none. Another host gives no order
/// within the time that a new holder waits for, so that within it nothing has changed.
class lease_tenure
{
public:
    /// `max_gap` is the longest time without the lease behind which a host may go on; not
    /// above the time that a new holder waits for before its first order.
    explicit lease_tenure(duration max_gap) : max_gap_(max_gap) {}

    /// Notes which resources this host holds at a time. A lease counts as held up to the
    /// last such call, so that a pause of the process ends it.
    void on_tick(lease_holder const& holder, time_point now);

    /// Notes that this host acquired a lease; whether no other host can have given orders
    /// since it held the lease last.
    bool on_acquired(lease_acquired const& lease, time_point now);

private:
    struct tenure
    {
        std::uint64_t fencing_number = 0;
        time_point held_until;
    };

    duration max_gap_;
    // The last lease of each resource that this host ever held
    std::map<resource_id, tenure> tenures_;
};

} // namespace marjorampath
