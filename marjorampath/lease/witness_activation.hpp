#pragma once

#include <marjorampath/core/time.hpp>
#include <marjorampath/lease/lease_options.hpp>
#include <marjorampath/membership/known_host.hpp>

#include <optional>
#include <span>

namespace marjorampath
{

/// Decides whether this host is an active witness.
///
/// Within any window of one term at most `witnesses_per_zone` hosts of a zone may grant.
/// Two quorums then share a host that granted both, whatever list of witnesses their
/// candidates used. A host is active when its own view shows for the time `settle`,
/// without a break, that
/// - the host list shows the host itself;
/// - each other host of its zone that is not gone is incarnations_exchanged, so that both
/// know the
///   incarnation of the other and agree on the order;
/// - fewer than `witnesses_per_zone` of them are older.
class witness_activation
{
public:
    /// Makes an inactive host.
    explicit witness_activation(lease_options options);

    /// Takes the hosts as known now. `self` is one of them.
    void update(time_point now, host_id self, std::span<known_host const> hosts);

    /// Starts the waiting time again, as after a restart. For a process that was paused
    /// for longer than `settle`, which others may have taken for gone.
    void reset() noexcept;

    /// Whether the host may grant.
    [[nodiscard]] bool active(time_point now) const noexcept;

    /// Time until the host is active as things stand; zero where it is or will not be.
    [[nodiscard]] duration active_in(time_point now) const noexcept;

private:
    // Whether the conditions hold by the given view
    [[nodiscard]] bool conditions_hold(host_id self,
                                       std::span<known_host const> hosts) const;

    // Settings
    lease_options options_;
    // Time since which the conditions have held, nothing while they do not
    std::optional<time_point> since_;
};

} // namespace marjorampath
