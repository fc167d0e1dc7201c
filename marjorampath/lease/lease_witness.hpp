#pragma once

#include <marjorampath/lease/lease_options.hpp>
#include <marjorampath/lease/lease_release.hpp>
#include <marjorampath/lease/lease_reply.hpp>
#include <marjorampath/lease/lease_request.hpp>
#include <marjorampath/lease/witness_activation.hpp>

#include <unordered_map>

namespace marjorampath
{

/// One host's memory of the leases that it granted.
///
/// It grants a lease to one holder at a time, for one term from the receipt of the
/// request. It is the caller's task to feed `activation` first.
class lease_witness
{
public:
    /// Makes a witness that remembers nothing.
    lease_witness(host_id self, lease_options options);

    /// Answers a request for leases.
    lease_reply on_request(time_point now, lease_request const& request,
                           std::uint64_t own_incarnation,
                           witness_activation const& activation);

    /// Ends leases early and reserves them for the successor.
    void on_release(time_point now, lease_release const& release);

    /// Forgets what ended long ago. To be called about once a second.
    void forget_old(time_point now);

    /// Number of resources remembered.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return leases_.size();
    }

private:
    struct lease
    {
        // Latest holder; empty before the first
        host_id holder;
        // Incarnation of the latest holder
        std::uint64_t incarnation = 0;
        // Latest request number of that holder
        std::uint64_t request_number = 0;
        // End of the lease
        time_point ends;
        // Highest fencing number heard of
        std::uint64_t fencing_number = 0;
        // Host that the lease is reserved for until `reserved_until`
        host_id successor;
        // End of the reservation
        time_point reserved_until;
    };

    // Decides about one resource
    lease_verdict judge(time_point now, lease_request const& request,
                        lease_want const& want, bool active);
    // Whether the request may have the lease now
    [[nodiscard]] static bool may_grant(time_point now, lease_request const& request,
                                        lease const& known);

    // This host
    host_id self_;
    // Settings
    lease_options options_;
    // Leases by resource
    std::unordered_map<resource_id, lease> leases_;
};

} // namespace marjorampath
