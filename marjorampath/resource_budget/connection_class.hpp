#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// For whom a host has a connection open. Each class has places of its own.
enum class connection_class : std::uint8_t
{
    /// Callers.
    callers,
    /// Other hosts that pass requests on.
    hosts,
    /// Endpoints that requests are sent to.
    endpoints,
    /// The balancer, the metrics collector, and other hosts that read the store's
    /// contents.
    control
};

/// Number of connection classes.
inline constexpr std::size_t connection_classes = 4;

/// Returns the name used in logs and metrics.
std::string_view to_string(connection_class value) noexcept;

} // namespace marjorampath
