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
/// A lease counts from before its request was sent, less the clock margin. Its fencing
/// number is chosen after a quorum granted and used after a quorum remembered it.
class lease_holder
{
public:
    /// Makes a host that holds nothing.
    lease_holder(host_id self, lease_options options);

    /// Sets the resources of the region. Leases on others are given up.
    void set_resources(time_point now, std::vector<leased_resource> const& resources,
                       lease_actions& actions);

    /// Takes the hosts as known now and this process's incarnation.
    void set_hosts(std::span<known_host const> hosts, std::uint64_t incarnation);

    /// Renews, asks and gives up. To be called at least every 50 ms.
    void on_tick(time_point now, wall_milliseconds wall, lease_actions& actions);

    /// Takes a witness's answer.
    void on_reply(time_point now, wall_milliseconds wall, lease_reply const& reply,
                  lease_actions& actions);

    /// Takes another holder's release that names this host as successor.
    void on_handover(time_point now, lease_release const& release);

    /// Takes the number in an engine's refusal of an order. The lease cannot be used
    /// until a quorum remembers a higher one.
    void on_fencing_refused(time_point now, wall_milliseconds wall, resource_id resource,
                            std::uint64_t number);

    /// Chooses a higher fencing number for a held lease; it cannot be used until a quorum
    /// remembers the number and `lease_acquired` tells it.
    void raise_number(time_point now, wall_milliseconds wall, resource_id resource);

    /// Takes a holder by hearsay.
    void on_hint(resource_id resource, host_id holder, std::uint64_t fencing_number);

    /// Hands over everything and asks for nothing any more.
    void leave(time_point now, lease_actions& actions);

    /// The fencing number for an order given now, or nothing where this host may give
    /// none. To be asked right before each order is written.
    [[nodiscard]] std::optional<std::uint64_t>
    fencing_number_for_order(resource_id resource, time_point now) const;

    /// How this host stands to a resource.
    [[nodiscard]] lease_status hold_status(resource_id resource, time_point now) const;

    /// The host to ask about a resource: itself, the holder by hearsay, or the preferred
    /// host; empty where there is none.
    [[nodiscard]] host_id owner_hint(resource_id resource, time_point now) const;

    /// The host that should hold a resource, among the hosts that may; empty for none.
    [[nodiscard]] host_id preferred(leased_resource const& resource,
                                    host_id excluded = {}) const;

    /// The witnesses that this host asks.
    [[nodiscard]] std::span<host_id const> witnesses() const noexcept
    {
        return witnesses_;
    }

private:
    struct pending_request
    {
        // Witness asked
        host_id witness;
        // Time right before it was sent
        time_point sent_at;
        // Resources and the fencing numbers that were sent
        std::vector<lease_want> wants;
    };

    // Chooses the preferred host of each resource anew
    void choose_preferred();
    // Gives up all leases after a pause
    void drop_all(time_point now, lease_loss reason, lease_actions& actions);
    // Announces what a quorum confirms, and what it no longer does
    void settle_claim(time_point now, lease_claim& claim, lease_actions& actions);
    // Whether the host should ask for the resource now
    [[nodiscard]] bool wants(time_point now, lease_claim const& claim) const;
    // Hands over a lease whose preferred host is another one for long
    void rebalance(time_point now, lease_claim& claim, lease_actions& actions);
    // Ends a lease and tells witnesses and successor
    void hand_over(time_point now, lease_claim& claim, host_id successor,
                   lease_actions& actions);
    // Sends one request to each witness for the given resources
    void send_requests(time_point now, std::vector<resource_id> const& due,
                       lease_actions& actions);
    // Sends one request for the given resources to one witness
    void send_request(time_point now, host_id witness,
                      std::vector<lease_want> const& wants, lease_actions& actions);
    // The witnesses that renewals go to: one more than the quorum, those that answer
    // first
    [[nodiscard]] std::vector<host_id> renewal_witnesses() const;
    // Takes one verdict of a reply
    void take_verdict(time_point now, lease_claim& claim, lease_verdict const& verdict,
                      pending_request const& request, lease_actions& actions);
    // Whether `left` should hold the resource rather than `right`
    [[nodiscard]] bool goes_before(leased_resource const& resource, host_id left,
                                   host_id right) const;
    // Lower bound of a new fencing number by the wall clock
    [[nodiscard]] static std::uint64_t number_floor(wall_milliseconds wall) noexcept;

    // This host
    host_id self_;
    // Settings
    lease_options options_;
    // Incarnation of this process
    std::uint64_t incarnation_ = 0;
    // Claims by resource, of all resources of the region
    std::map<resource_id, lease_claim> claims_;
    // Zone of each host that may hold leases
    std::map<host_id, zone_id> candidates_;
    // Hosts asked for leases
    std::vector<host_id> witnesses_;
    // Number of requests since each witness's latest answer
    std::map<host_id, std::uint32_t> unanswered_;
    // Requests not yet answered, by number
    std::map<std::uint64_t, pending_request> pending_;
    // Number of the latest request
    std::uint64_t request_number_ = 0;
    // Time of the latest tick, nothing before the first
    std::optional<time_point> last_tick_;
    // Whether the host is shutting down
    bool leaving_ = false;
};

} // namespace marjorampath
