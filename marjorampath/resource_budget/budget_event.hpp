#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// Identifies an open connection in a `resource_budget`; never used twice.
using connection_number = std::uint64_t;

/// What a connection is told by a `resource_budget`.
enum class budget_event : std::uint8_t
{
    /// The reservation that it waited for was made.
    granted,
    /// That reservation is not made: what it needs was not released in time.
    refused,
    /// The connection must be closed, because it waits for its client and its place is
    /// needed.
    evicted_idle,
    /// The request must be ended, because its client sends or reads too slowly and what
    /// it holds is needed.
    evicted_stalled
};

/// Returns the name used in logs and metrics.
std::string_view to_string(budget_event value) noexcept;

/// A `budget_event` and the connection that it concerns.
struct budget_notice
{
    connection_number connection = 0;
    budget_event event = budget_event::granted;
};

} // namespace marjorampath
