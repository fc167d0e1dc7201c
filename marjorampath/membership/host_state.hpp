#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace marjorampath
{

/// The state of a host as seen by another host. At equal incarnation and counter, a
/// higher state overrides a lower one.
enum class host_state : std::uint8_t
{
    /// It replies to probes.
    alive,
    /// It is shutting down: it replies to probes, finishes its work and acquires no new
    /// leases.
    leaving,
    /// It did not reply; it is declared dead unless it refutes the suspicion in time.
    suspect,
    /// It did not refute the suspicion in time.
    dead
};

/// The name of a state, as in logs and settings.
std::string_view to_string(host_state value) noexcept;

/// The state with the given name, or nothing if there is none.
std::optional<host_state> parse_host_state(std::string_view name) noexcept;

} // namespace marjorampath
