#pragma once

#include <marjorampath/sheet/sheet.hpp>
#include <marjorampath/sheet/sheet_manifest.hpp>
#include <marjorampath/sheet/sheet_part.hpp>
#include <marjorampath/sheet/sheet_problem.hpp>

#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace marjorampath
{

/// The largest number of problems reported for one sheet.
inline constexpr std::size_t max_sheet_problems = 20;

/// A valid sheet, or the problems for which it is rejected. At most `max_sheet_problems`,
/// plus one for each malformed part.
using sheet_or_problems =
    std::variant<std::shared_ptr<sheet const>, std::vector<sheet_problem>>;

/// Reads and validates a sheet as a whole. One invalid row rejects it.
///
/// Checks that every part listed in the manifest is present with its digest, that the
/// headers and fields of each table are valid, that names are unique, and that all
/// referenced services and endpoint kinds exist.
sheet_or_problems read_sheet(sheet_manifest const& manifest,
                             std::span<sheet_part const> parts);

} // namespace marjorampath
