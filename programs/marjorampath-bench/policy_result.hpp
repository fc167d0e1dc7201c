#pragma once

#include <marjorampath/core/time.hpp>
#include <programs/marjorampath-bench/policy_clairvoyant.hpp>
#include <programs/marjorampath-bench/policy_world.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath::bench
{

/// Result of one policy in one scenario: one row of the table.
struct policy_result
{
    /// Name of the scenario.
    std::string scenario;
    /// Name of the policy.
    std::string policy;
    /// Requests that arrived in the measured time.
    std::uint64_t requests = 0;
    /// Percentiles and sum of the load stalls of these requests, in seconds.
    double stall_p50 = 0;
    double stall_p95 = 0;
    double stall_p99 = 0;
    double stall_total = 0;
    /// Fraction of the requests that stalled.
    double stalled = 0;
    /// Tokens of finished requests, divided by the tokens that the engines would generate
    /// in their busy time with full batches.
    double batch_efficiency = 0;
    /// Tokens of finished requests, divided by the tokens that all engines would generate
    /// in the measured time with full batches.
    double utilisation = 0;
    /// Fraction of the requests that finished within the deadline.
    double goodput = 0;
    /// Tokens of finished requests per second.
    double token_rate = 0;
    /// Fraction of the requests that were cut off by the deadline while they ran.
    double cut = 0;
    /// Number of load and unload orders in the measured time.
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
    /// Minimum over the teams of generated tokens divided by the team's fair share.
    double fairness = 0;
    /// Time of a decision in microseconds, mean and 99th percentile.
    double decision_mean_us = 0;
    double decision_p99_us = 0;
    /// Seconds from a shift of the hot set until stalls are about as rare as before it.
    double recovery = 0;
    /// Seconds that the store needs to load the newly hot adapters, plus five.
    double recovery_aim = 0;
};

/// Computes a row from a simulation after its run. `busy` is the busy time of all
/// engines, `costs` are the decision times in nanoseconds.
policy_result compute_result(world& simulation, std::string const& policy, duration busy,
                             std::vector<std::uint32_t> costs);

/// Computes a row from the result of the clairvoyant reference.
policy_result compute_result(scenario const& setup, trace const& workload,
                             clairvoyant_result const& reference);

} // namespace marjorampath::bench
