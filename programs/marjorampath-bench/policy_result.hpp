#pragma once

#include <marjorampath/core/time.hpp>
#include <programs/marjorampath-bench/policy_clairvoyant.hpp>
#include <programs/marjorampath-bench/policy_world.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath::bench
{

/// One row of the table.
struct policy_result
{
    /// Name of the scenario.
    std::string scenario;
    /// Name of the policy.
    std::string policy;
    /// Requests that arrived in the measured time.
    std::uint64_t requests = 0;
    /// Percentiles of the load stall over these, and its sum, in seconds.
    double stall_p50 = 0;
    double stall_p95 = 0;
    double stall_p99 = 0;
    double stall_total = 0;
    /// Part of the requests that stalled.
    double stalled = 0;
    /// Tokens of finished requests by what busy engines make with full batches.
    double batch_efficiency = 0;
    /// The same by what all engines make in all the time.
    double utilisation = 0;
    /// Part of the requests that finished within the deadline.
    double goodput = 0;
    /// Tokens a second of these.
    double token_rate = 0;
    /// Part of the requests that were cut by the deadline while they ran.
    double cut = 0;
    /// Load and unload orders.
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
    /// Least of the teams' tokens divided by its fair share.
    double fairness = 0;
    /// Microseconds of a decision, mean and 99th percentile.
    double decision_mean_us = 0;
    double decision_p99_us = 0;
    /// Seconds from a shift of the hot set until stalls are as rare as before.
    double recovery = 0;
    /// The same that the store's rate allows, plus five.
    double recovery_aim = 0;
};

/// Works out a row from a world after a run.
policy_result measure(world& after, std::string const& policy, duration busy,
                      std::vector<std::uint32_t> costs);

/// Works out a row from the clairvoyant reference.
policy_result measure(scenario const& chosen, trace const& made,
                      clairvoyant_result const& reached);

} // namespace marjorampath::bench
