#pragma once

#include <marjorampath/sheet/sheet_manifest.hpp>
#include <marjorampath/sheet/sheet_part.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace marjorampath::standin
{

/// The CSV files of a folder as the parts of a sheet, by name; `manifest.csv` is left
/// out. Throws std::runtime_error where a file cannot be read.
std::vector<sheet_part> read_sheet_folder(std::filesystem::path const& folder);

} // namespace marjorampath::standin
