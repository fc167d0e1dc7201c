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
/// leases. Any two quorums then share a host that granted both, even if the two
/// requesting hosts used different lists of witnesses. A host is active once the
/// following have held in its own view for the time `witness_activation_delay` without
/// interruption:
/// - the host list contains the host itself, its incarnation is known, and its zone is
///   one of `lease_options::zones`;
/// - it has exchanged incarnations with each other host of its zone that is not gone, so
///   that both agree on which is older; see `lease_options::wait_for_younger` for the
///   exception;
/// - fewer than `witnesses_per_zone` of them are older.
class witness_activation
{
public:
    /// Starts as inactive.
    explicit witness_activation(lease_options options);

    /// Re-evaluates the conditions with the hosts known now, `self` included.
    void update(time_point now, host_id self, std::span<known_host const> hosts);

    /// Restarts the waiting time. Called after a pause longer than
    /// `witness_activation_delay`, since other hosts may have considered this one gone.
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
