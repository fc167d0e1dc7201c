#pragma once

#include <string>
#include <vector>

namespace marjorampath::ctl
{

/// Runs `sheet check FOLDER`, `sheet pack FOLDER NUMBER OUTPUT` or `sheet diff OLD NEW`
/// and returns the exit code: 0 for success, 1 where a sheet is rejected or cannot be
/// written, 2 for invalid arguments. With `json` it prints JSON instead of tables.
int run_sheet_command(std::vector<std::string> const& arguments, bool json);

} // namespace marjorampath::ctl
