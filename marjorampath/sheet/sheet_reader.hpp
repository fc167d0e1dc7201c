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

/// The largest number of problems that are reported at once.
inline constexpr std::size_t max_sheet_problems = 20;

/// A checked sheet, or every reason found for rejecting it.
using sheet_or_problems =
    std::variant<std::shared_ptr<sheet const>, std::vector<sheet_problem>>;

/// Reads and checks a sheet as a whole. One bad row rejects it.
///
/// Checked are: that the parts are those that the manifest names, with their digests;
/// each table's header and fields; that names are unique; that every row refers to
/// services and endpoint kinds that the sheet has.
sheet_or_problems read_sheet(sheet_manifest const& manifest,
                             std::span<sheet_part const> parts);

} // namespace marjorampath
