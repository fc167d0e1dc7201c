#pragma once

#include <marjorampath/core/time.hpp>
#include <programs/marjorampath-bench/policy_trace.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath::bench
{

/// Result of the clairvoyant reference.
struct clairvoyant_result
{
    /// Load stall of each request of the trace.
    std::vector<duration> stalls;
    /// Number of loads started within the measured time.
    std::uint64_t loads = 0;
};

/// Computes the load stalls of a policy that loads on demand and knows the whole trace.
/// Only the slots and the store limit it: all engines form one pool of slots, runs take
/// no time, loads never fail, and engines never restart. It evicts the adapter whose next
/// request is farthest in the future (Belady 1966) and loads the adapter with the most
/// waiting requests first.
clairvoyant_result run_clairvoyant(scenario const& setup, trace const& workload);

} // namespace marjorampath::bench
