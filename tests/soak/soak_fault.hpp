#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::test
{

/// Faults and changes that the soak brings about.
enum class fault_kind : std::uint8_t
{
    /// A link delays each piece.
    link_delay,
    /// A link resets its connections.
    link_reset,
    /// A link goes silent.
    link_silence,
    /// A link carries nothing towards its target.
    link_cut_to_target,
    /// A link carries nothing towards its callers.
    link_cut_to_caller,
    /// An endpoint stands still.
    endpoint_pause,
    /// An endpoint is killed; another takes its place.
    endpoint_kill,
    /// An endpoint announces that it leaves, then ends; another takes its place.
    endpoint_drain,
    /// A node stands still.
    node_pause,
    /// A node is killed and starts again.
    node_kill,
    /// A node is told to stop and starts again.
    node_stop,
    /// A node is told to read its settings again.
    node_reload,
    /// The store stands still.
    store_pause,
    /// The operator publishes a configuration.
    configuration_change,
    /// The operator announces a version of an adapter.
    version_change
};

/// Name of a kind.
std::string_view to_string(fault_kind kind) noexcept;

/// One fault of a schedule.
struct soak_fault
{
    /// Kind of fault.
    fault_kind kind = fault_kind::link_delay;
    /// Time from the start of the schedule.
    std::chrono::milliseconds at{0};
    /// How long it lasts, where it lasts.
    std::chrono::milliseconds length{0};
    /// Number of the link, endpoint, node or adapter, to be taken modulo their count.
    std::size_t target = 0;
};

/// How a schedule is drawn.
struct schedule_options
{
    /// Seed; equal seeds give equal schedules.
    std::uint32_t seed = 1;
    /// Span over which faults begin.
    std::chrono::milliseconds span{10'000};
    /// Mean time between the beginnings of two faults.
    std::chrono::milliseconds mean_gap{400};
    /// Longest fault.
    std::chrono::milliseconds longest{3'000};
};

/// Faults that come singly, in series and overlapping, in the order of their beginnings.
std::vector<soak_fault> generate_schedule(schedule_options const& options);

} // namespace marjorampath::test
