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
/// Within any window of one term at most `witnesses_per_zone` hosts of a zone may grant
/// leases. Any two quorums then share a host that granted both, whatever lists of
/// witnesses their candidates used. A host is active once the following have held in its
/// own view for the time `witness_activation_delay` without interruption:
/// - the host list contains the host itself;
/// - each other host of its zone that is not gone is incarnations_exchanged, so that both
/// know the
///   incarnation of the other and agree on the order; see
///   `lease_options::wait_for_younger` for the exception;
/// - fewer than `witnesses_per_zone` of them are older.
class witness_activation
{
public:
    /// Starts as inactive.
    explicit witness_activation(lease_options options);

    /// Re-evaluates the conditions with the hosts known now, `self` included.
    void update(time_point now, host_id self, std::span<known_host const> hosts);

    /// Restarts the waiting time, as after a restart. For a process that was paused for
    /// longer than `witness_activation_delay`, which other hosts may have considered
    /// gone.
    void reset() noexcept;

    /// Whether the host may grant leases.
    [[nodiscard]] bool active(time_point now) const noexcept;

    /// Time until the host becomes active if its view does not change; zero if it is
    /// active or the conditions do not hold.
    [[nodiscard]] duration active_in(time_point now) const noexcept;

private:
    // Whether the conditions hold in the given view
    [[nodiscard]] bool conditions_hold(host_id self,
                                       std::span<known_host const> hosts) const;

    // Settings
    lease_options options_;
    // Start of the time in which the conditions have held; empty while they do not
    std::optional<time_point> conditions_held_since_;
};

} // namespace marjorampath
