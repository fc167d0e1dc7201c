#pragma once

#include <programs/marjorampath-bench/policy_trace.hpp>

#include <vector>

namespace marjorampath::bench
{

/// The scenarios of both customers.
std::vector<scenario> all_scenarios();

/// A scenario with a number of engines and rates in proportion, to measure the cost of
/// decisions.
scenario scaled_scenario(std::uint32_t engines);

} // namespace marjorampath::bench
