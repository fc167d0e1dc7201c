#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/membership/host_state.hpp>
#include <marjorampath/membership/indirect_probe.hpp>
#include <marjorampath/membership/probe.hpp>
#include <marjorampath/membership/probe_reply.hpp>

#include <variant>
#include <vector>

namespace marjorampath
{

/// Sends a probe. The caller adds all gossip other than host records.
struct send_probe
{
    /// The receiver.
    host_id to;
    /// The message.
    probe message;
};

/// Sends a reply to a probe.
struct send_probe_reply
{
    /// The receiver.
    host_id to;
    /// The message.
    probe_reply message;
};

/// Requests a probe of one host from another.
struct send_indirect_probe
{
    /// The receiver.
    host_id to;
    /// The message.
    indirect_probe message;
};

/// Reports that the state of a host as seen by this one changed.
struct host_changed
{
    /// The host.
    host_id host;
    /// Its new state.
    host_state state = host_state::alive;
    /// Whether its process was restarted.
    bool restarted = false;
};

/// Reports that this process has a new incarnation, for example after a long pause, and
/// counts as a new process: all leases that it granted as witness and all that it holds
/// are void.
struct own_incarnation_changed
{
    /// The new incarnation.
    std::uint64_t incarnation = 0;
};

/// A decision of `membership` that the caller carries out.
using membership_action = std::variant<send_probe, send_probe_reply, send_indirect_probe,
                                       host_changed, own_incarnation_changed>;

/// Decisions in the order to carry them out.
using membership_actions = std::vector<membership_action>;

} // namespace marjorampath
