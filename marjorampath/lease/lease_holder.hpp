#pragma once

#include <marjorampath/lease/lease_action.hpp>
#include <marjorampath/lease/lease_claim.hpp>
#include <marjorampath/lease/lease_options.hpp>
#include <marjorampath/lease/lease_reply.hpp>
#include <marjorampath/lease/lease_status.hpp>
#include <marjorampath/lease/leased_resource.hpp>
#include <marjorampath/membership/known_host.hpp>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace marjorampath
{

/// Acquires, renews, hands over and gives up this host's leases.
///
/// The holder counts the term of a lease from right before it sends the request and
/// subtracts the clock margin, so its lease ends before the witnesses' grants do. The
/// fencing number is chosen once a quorum has granted the lease, and used once a quorum
/// has recorded the number.
class lease_holder
{
public:
    /// Creates a holder without resources.
    lease_holder(host_id self, lease_options options);

    /// Sets the resources of the region. Leases on other resources are released. For a
    /// resource whose zone changed, the grants are discarded without a release or
    /// `lease_lost`.
    void set_resources(time_point now, std::vector<leased_resource> const& resources,
                       lease_actions& actions);

    /// Updates the known hosts and this process's incarnation.
    void set_hosts(std::span<known_host const> hosts, std::uint64_t incarnation);

    /// Requests, renews and gives up leases. To be called at least every 50 ms.
    void on_tick(time_point now, wall_milliseconds wall, lease_actions& actions);

    /// Processes a witness's reply.
    void on_reply(time_point now, wall_milliseconds wall, lease_reply const& reply,
                  lease_actions& actions);

    /// Processes a release. If it names this host as successor, the host requests the
    /// leases at the next tick, provided that it is the preferred holder in its own view.
    void on_handover(time_point now, lease_release const& release);

    /// Processes an engine's refusal of an order; `number` is the fencing number known to
    /// the engine. If the lease's number is not above it, a higher number is chosen, and
    /// the lease cannot be used until a quorum has recorded that number.
    void on_fencing_refused(time_point now, wall_milliseconds wall, resource_id resource,
                            std::uint64_t number);

    /// Chooses a higher fencing number for a held lease. The lease cannot be used until a
    /// quorum has recorded the number and `lease_acquired` reports it.
    void raise_fencing_number(time_point now, wall_milliseconds wall,
                              resource_id resource);

    /// Processes another host's report of a resource's holder. Hints that do not raise
    /// the fencing number are ignored.
    void on_hint(resource_id resource, host_id holder, std::uint64_t fencing_number);

    /// Hands over all leases and stops requesting any; called at shutdown.
    void leave(time_point now, lease_actions& actions);

    /// The fencing number for an order given now, or nothing if this host must not give
    /// orders. To be called right before each order is written.
    [[nodiscard]] std::optional<std::uint64_t>
    fencing_number_for_order(resource_id resource, time_point now) const;

    /// Whether this host holds a resource, or held it last.
    [[nodiscard]] lease_status hold_status(resource_id resource, time_point now) const;

    /// The probable owner of a resource, to which requests are sent: this host if it is
    /// the holder, else the holder reported by hints, else the preferred host; empty for
    /// none.
    [[nodiscard]] host_id owner_hint(resource_id resource, time_point now) const;

    /// The preferred holder of a resource among the eligible hosts without `excluded`;
    /// empty for none.
    [[nodiscard]] host_id preferred(leased_resource const& resource,
                                    host_id excluded = {}) const;

    /// The witnesses that this host sends lease requests to.
    [[nodiscard]] std::span<host_id const> witnesses() const noexcept
    {
        return witnesses_;
    }

private:
    struct pending_request
    {
        host_id witness;
        // Time right before the request was sent
        time_point sent_at;
        // Resources and the fencing numbers that were sent
        std::vector<lease_want> wants;
    };

    // Recomputes the preferred host of each resource
    void update_preferred_hosts();
    // Gives up all leases after a pause
    void drop_all_leases(time_point now, lease_loss reason, lease_actions& actions);
    // Reports `lease_acquired` once a quorum has confirmed the fencing number, and
    // `lease_lost` once the grants of a quorum have expired
    void update_claim(time_point now, lease_claim& claim, lease_actions& actions);
    // Whether the host should request or renew the lease now
    [[nodiscard]] bool should_request(time_point now, lease_claim const& claim) const;
    // Hands over a lease once another host has been preferred for `rebalance_delay`
    void rebalance(time_point now, lease_claim& claim, lease_actions& actions);
    // Drops the grants of a lease, held or not, and sends the release to the witnesses
    // and to the successor if there is one
    void release_lease(time_point now, lease_claim& claim, host_id successor,
                       lease_actions& actions);
    // Requests the given resources: those not held from all witnesses, held ones from
    // `renewal_witnesses()` only; sends at most one request to each witness
    void send_requests(time_point now, std::vector<resource_id> const& due,
                       lease_actions& actions);
    // Sends one request for the given resources to one witness
    void send_request(time_point now, host_id witness,
                      std::vector<lease_want> const& wants, lease_actions& actions);
    // The witnesses that renewals are sent to: one more than the quorum, those with the
    // fewest unanswered requests first
    [[nodiscard]] std::vector<host_id> renewal_witnesses() const;
    // Processes one verdict of a reply
    void process_verdict(time_point now, lease_claim& claim, lease_verdict const& verdict,
                         pending_request const& request, lease_actions& actions);
    // Whether `left` is preferred over `right` as holder of the resource
    [[nodiscard]] bool is_preferred_over(leased_resource const& resource, host_id left,
                                         host_id right) const;
    // Lower bound of a new fencing number: wall-clock seconds shifted left by 16 bits, so
    // that numbers rise with time even if no earlier number is known
    [[nodiscard]] static std::uint64_t
    min_fencing_number(wall_milliseconds wall) noexcept;

    // This host
    host_id self_;
    // Settings
    lease_options options_;
    // Incarnation of this process
    std::uint64_t incarnation_ = 0;
    // Claims by resource, of all resources of the region
    std::map<resource_id, lease_claim> claims_;
    // Zone of each host that is eligible to hold leases
    std::map<host_id, zone_id> candidates_;
    // Hosts that lease requests are sent to
    std::vector<host_id> witnesses_;
    // Number of requests sent since each witness's latest reply as an active witness
    std::map<host_id, std::uint32_t> unanswered_;
    // Requests not yet answered, by request number
    std::map<std::uint64_t, pending_request> pending_;
    // Number of the latest request
    std::uint64_t request_number_ = 0;
    // Time of the latest tick
    std::optional<time_point> last_tick_;
    // Whether the host is shutting down
    bool leaving_ = false;
};

} // namespace marjorampath
