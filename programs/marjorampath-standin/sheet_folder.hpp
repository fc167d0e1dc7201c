#pragma once

#include <marjorampath/sheet/sheet_manifest.hpp>
#include <marjorampath/sheet/sheet_part.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace marjorampath::standin
{

/// Reads the CSV files of a folder, except `manifest.csv`, as the parts of a sheet,
/// sorted by name. Throws std::runtime_error where a file cannot be read.
std::vector<sheet_part> read_sheet_folder(std::filesystem::path const& folder);

} // namespace marjorampath::standin
