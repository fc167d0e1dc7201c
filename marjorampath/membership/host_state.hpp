#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace marjorampath
{

/// What is believed of a host. A higher state overrides a lower one of equal counter.
enum class host_state : std::uint8_t
{
    /// It answers.
    alive,
    /// It is shutting down: it answers, finishes its work and takes no new leases.
    leaving,
    /// It did not answer; it is dead unless it objects in time.
    suspect,
    /// It did not object in time.
    dead
};

/// The name of a state, as in logs and settings.
std::string_view to_string(host_state value) noexcept;

/// The state of a name, or nothing where the name is not one.
std::optional<host_state> parse_host_state(std::string_view name) noexcept;

} // namespace marjorampath
