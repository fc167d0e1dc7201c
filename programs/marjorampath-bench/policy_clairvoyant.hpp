#pragma once

#include <marjorampath/core/time.hpp>
#include <programs/marjorampath-bench/policy_trace.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath::bench
{

/// What the clairvoyant reference reaches.
struct clairvoyant_result
{
    /// Load stall of each request of the trace.
    std::vector<duration> stalls;
    /// Loads within the measured time.
    std::uint64_t loads = 0;
};

/// Load stalls of a policy that loads on demand, knows the whole trace, and is freed from
/// everything but the slots and the store: all engines are one pool of slots, runs take
/// no time, loads never fail, engines never restart. It evicts the adapter that is asked
/// for again last (Belady 1966) and loads first what most requests wait for.
clairvoyant_result run_clairvoyant(scenario const& chosen, trace const& made);

} // namespace marjorampath::bench
