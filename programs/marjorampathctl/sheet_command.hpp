#pragma once

#include <string>
#include <vector>

namespace marjorampath::ctl
{

/// Runs `sheet check FOLDER`, `sheet pack FOLDER NUMBER OUTPUT` or `sheet diff OLD NEW`
/// and returns the exit code: 0 for success, 1 for a rejected sheet, 2 for wrong words.
int run_sheet_command(std::vector<std::string> const& words, bool json);

} // namespace marjorampath::ctl
