#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::test
{

/// Faults and changes that the soak injects.
enum class fault_kind : std::uint8_t
{
    /// A link delays each chunk of bytes.
    link_delay,
    /// A link resets its connections.
    link_reset,
    /// A link forwards nothing in either direction.
    link_silence,
    /// A link forwards nothing towards its target.
    link_cut_to_target,
    /// A link forwards nothing towards its callers.
    link_cut_to_caller,
    /// An endpoint is paused by SIGSTOP.
    endpoint_pause,
    /// An endpoint is killed and replaced.
    endpoint_kill,
    /// An endpoint announces that it leaves, is killed some seconds later and replaced.
    endpoint_drain,
    /// A node is paused by SIGSTOP.
    node_pause,
    /// A node is killed and restarted.
    node_kill,
    /// A node is shut down by SIGTERM and restarted.
    node_stop,
    /// A node reloads its settings on SIGHUP.
    node_reload,
    /// The store is paused by SIGSTOP.
    store_pause,
    /// The operator publishes a configuration.
    configuration_change,
    /// The operator announces a version of an adapter.
    version_change,
    /// An endpoint names a limit on its request rate in its answers.
    endpoint_limit,
    /// A node, or all nodes of a zone, are cut from all endpoints: their connections
    /// hang.
    node_cut_hang,
    /// The same; their connections are reset.
    node_cut_reset,
    /// The same; open connections go on, new ones are refused.
    node_cut_refuse,
    /// The operator publishes a configuration with many more routes, and another one soon
    /// after it; the store answers slowly and an endpoint leaves meanwhile.
    large_change,
    /// The store is away for a moment and is restored from an older copy; the operator
    /// writes again what was lost, later a new configuration, and an endpoint leaves.
    store_restore,
    /// A node is cut from the store, another one is paused, and the operator revokes a
    /// key.
    key_revocation
};

/// Name of a fault kind.
std::string_view to_string(fault_kind kind) noexcept;

/// One fault of a schedule.
struct soak_fault
{
    /// Kind of fault.
    fault_kind kind = fault_kind::link_delay;
    /// Time from the start of the schedule.
    std::chrono::milliseconds at{0};
    /// Duration; ignored by kinds that happen at an instant.
    std::chrono::milliseconds duration{0};
    /// Requests per second; only for a limit.
    double rate = 0;
    /// Index of the link, endpoint, node or adapter, taken modulo their count.
    std::size_t target = 0;
};

/// Duration of a limit: the time until all hosts must keep it, and one and a half windows
/// over which the requests are counted.
inline constexpr std::chrono::milliseconds limit_duration{10'000};

/// Duration of a cut of nodes from all endpoints: the time from which their first tries
/// count, and as much again.
inline constexpr std::chrono::milliseconds cut_duration{8'000};

/// Duration of a large change: the time within which it must be in force, and as much
/// again.
inline constexpr std::chrono::milliseconds large_change_duration{6'000};

/// Longest age of the copy that the store is restored from.
inline constexpr std::chrono::milliseconds max_copy_age{8'000};

/// Duration of a restoration: the longest age, the time without faults for which bounds
/// hold, and the time within which a configuration must be in force.
inline constexpr std::chrono::milliseconds restore_duration{16'000};

/// Duration of a cut in which a key is revoked: beyond the time within which every node
/// must refuse the key.
inline constexpr std::chrono::milliseconds revocation_duration{9'000};

/// Parameters of a random schedule.
struct schedule_options
{
    /// Seed; with equal options, equal seeds give equal schedules.
    std::uint32_t seed = 1;
    /// Time over which faults begin.
    std::chrono::milliseconds span{10'000};
    /// Mean time between the starts of two faults.
    std::chrono::milliseconds mean_gap{400};
    /// Number of endpoints that name a limit on their request rate.
    int limits = 1;
    /// Number of cuts of nodes from all endpoints, one behind the other.
    int cuts = 1;
    /// Number of large changes of the configuration.
    int large_changes = 1;
    /// Number of restorations of the store from a copy.
    int restores = 0;
    /// Number of revocations of keys; with any, callers send keys.
    int revocations = 0;
    /// Longest duration of a fault.
    std::chrono::milliseconds max_duration{3'000};
};

/// Returns a random schedule; faults may overlap. The last ones are limits, each of which
/// lasts for `limit_duration`, cuts of nodes, which last for `cut_duration`, large
/// changes of the configuration, and restorations of the store, whose duration is the age
/// of the copy.
std::vector<soak_fault> generate_schedule(schedule_options const& options);

} // namespace marjorampath::test
