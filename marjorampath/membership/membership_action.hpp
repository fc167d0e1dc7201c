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

/// Sends a probe. The sender fills in the news that are no host records.
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

/// Asks a host to probe another one.
struct send_indirect_probe
{
    /// The receiver.
    host_id to;
    /// The message.
    indirect_probe message;
};

/// The state of a host, as believed here, changed.
struct host_changed
{
    /// The host.
    host_id host;
    /// Its state now.
    host_state state = host_state::alive;
    /// Whether its process is another one than before.
    bool restarted = false;
};

/// This process was paused for long and counts as a new one from now on: it has another
/// incarnation, and all that it promised as a witness or holds as an owner is void.
struct own_incarnation_changed
{
    /// The new incarnation.
    std::uint64_t incarnation = 0;
};

/// What the membership decided.
using membership_action = std::variant<send_probe, send_probe_reply, send_indirect_probe,
                                       host_changed, own_incarnation_changed>;

/// Decisions in the order in which they were made.
using membership_actions = std::vector<membership_action>;

} // namespace marjorampath
