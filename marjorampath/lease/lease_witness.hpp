#pragma once

#include <marjorampath/lease/lease_options.hpp>
#include <marjorampath/lease/lease_release.hpp>
#include <marjorampath/lease/lease_reply.hpp>
#include <marjorampath/lease/lease_request.hpp>
#include <marjorampath/lease/witness_activation.hpp>

#include <unordered_map>

namespace marjorampath
{

/// Grants leases as a witness and records them.
///
/// A lease is granted to one holder at a time, for one term from the receipt of the
/// request. The caller has to update `activation` with the known hosts before each
/// request.
class lease_witness
{
public:
    /// Creates a witness without recorded leases.
    lease_witness(host_id self, lease_options options);

    /// Grants or refuses each lease of a request.
    lease_reply on_request(time_point now, lease_request const& request,
                           std::uint64_t own_incarnation,
                           witness_activation const& activation);

    /// Ends the leases of a release and reserves them for the successor for one term.
    void on_release(time_point now, lease_release const& release);

    /// Removes leases that ended more than `lease_options::retention` ago. To be called
    /// about once a second.
    void forget_old(time_point now);

    /// Number of resources with a recorded lease.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return leases_.size();
    }

private:
    struct lease
    {
        // Latest holder; empty if there was none
        host_id holder;
        // Incarnation of the latest holder
        std::uint64_t incarnation = 0;
        // Latest request number of that holder
        std::uint64_t request_number = 0;
        time_point ends;
        // Highest fencing number received from a holder
        std::uint64_t fencing_number = 0;
        // Host that the lease is reserved for until `reserved_until`
        host_id successor;
        time_point reserved_until;
    };

    // Grants or refuses one lease
    lease_verdict decide(time_point now, lease_request const& request,
                         lease_want const& want, bool active);
    // Whether the lease can be granted to the request now
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
