#pragma once

#include <marjorampath/sheet/sheet_packer.hpp>
#include <marjorampath/sheet/sheet_problem.hpp>

#include <cstdint>
#include <filesystem>
#include <variant>
#include <vector>

namespace marjorampath::serving
{

/// Reads the exported tables `endpoint_kinds.csv`, `services.csv`, `adapters.csv` and
/// `non_idempotent.csv` of a folder and packs them under a number. A missing file is a
/// problem; the content is not checked.
std::variant<packed_sheet, std::vector<sheet_problem>>
pack_sheet_folder(std::filesystem::path const& folder, std::uint64_t number);

/// Writes a packed sheet as files that are named like the configuration service's keys:
/// `sheet/part/DIGEST` for each part, then `sheet/manifest`.
std::vector<sheet_problem> write_packed_sheet(packed_sheet const& packed,
                                              std::filesystem::path const& folder);

/// Reads what `write_packed_sheet` wrote.
std::variant<packed_sheet, std::vector<sheet_problem>>
read_packed_sheet(std::filesystem::path const& folder);

} // namespace marjorampath::serving
