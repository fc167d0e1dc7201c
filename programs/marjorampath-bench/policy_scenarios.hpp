#pragma once

#include <programs/marjorampath-bench/policy_trace.hpp>

#include <vector>

namespace marjorampath::bench
{

/// The scenarios of both customers.
std::vector<scenario> all_scenarios();

/// A scenario of a number of engines with rates in proportion, for the decision cost.
scenario scaled_scenario(std::uint32_t engines);

} // namespace marjorampath::bench
