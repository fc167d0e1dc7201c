#pragma once

#include <marjorampath/sheet/sheet.hpp>

#include <string>
#include <vector>

namespace marjorampath
{

/// How a row differs between two sheets.
enum class sheet_change_kind
{
    /// The row is only in the newer sheet.
    added,
    /// The row is only in the older sheet.
    removed,
    /// The row is in both with different values.
    changed
};

/// The name of a kind of change.
std::string_view to_string(sheet_change_kind value) noexcept;

/// One difference between two sheets.
struct sheet_change
{
    /// How the row changed.
    sheet_change_kind kind = sheet_change_kind::changed;
    /// Name of the table.
    std::string table;
    /// Key of the row, such as `dossier/lot-7`.
    std::string row;
    /// Values before; empty where the row was added.
    std::string before;
    /// Values after; empty where the row was removed.
    std::string after;
};

/// All differences between two sheets, ordered by table. In each table the removed and
/// changed rows precede the added ones; both groups are ordered by row.
std::vector<sheet_change> compare_sheets(sheet const& before, sheet const& after);

} // namespace marjorampath
