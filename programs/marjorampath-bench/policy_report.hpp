#pragma once

#include <programs/marjorampath-bench/policy_result.hpp>

#include <string>
#include <vector>

namespace marjorampath::bench
{

/// Prints the rows as a table to the standard output.
void print_table(std::vector<policy_result> const& rows);

/// Writes the rows as `policy.csv` into a folder.
void write_csv(std::vector<policy_result> const& rows, std::string const& folder);

/// Writes a bar chart of stalls and batch efficiency as `policy.svg` into a folder.
void write_svg(std::vector<policy_result> const& rows, std::string const& folder);

} // namespace marjorampath::bench
