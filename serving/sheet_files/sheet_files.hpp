#pragma once

#include <marjorampath/sheet/sheet_packer.hpp>
#include <marjorampath/sheet/sheet_problem.hpp>

#include <cstdint>
#include <filesystem>
#include <variant>
#include <vector>

namespace marjorampath::serving
{

/// Reads the tables `endpoint_kinds.csv`, `services.csv`, `adapters.csv` and
/// `non_idempotent.csv` from a folder and packs them as the sheet with the given number.
/// Each file that cannot be read is reported as a problem; the content is not checked.
std::variant<packed_sheet, std::vector<sheet_problem>>
pack_sheet_folder(std::filesystem::path const& folder, std::uint64_t number);

/// Writes a packed sheet as files named like the keys in the configuration service:
/// `sheet/part/DIGEST` for each part, then `sheet/manifest`. Returns the files that could
/// not be written; the manifest is written only if all parts were.
std::vector<sheet_problem> write_packed_sheet(packed_sheet const& packed,
                                              std::filesystem::path const& folder);

/// Reads a sheet written by `write_packed_sheet`; the content of the parts is not
/// checked.
std::variant<packed_sheet, std::vector<sheet_problem>>
read_packed_sheet(std::filesystem::path const& folder);

} // namespace marjorampath::serving
