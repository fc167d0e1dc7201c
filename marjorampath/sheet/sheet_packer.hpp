#pragma once

#include <marjorampath/sheet/sheet_manifest.hpp>
#include <marjorampath/sheet/sheet_part.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace marjorampath
{

/// Mean number of rows in one part. A part ends after a row whose hash is a multiple of
/// this number, so that an added or changed row usually affects one or two parts. Other
/// parts keep their digests, but later ones may be renumbered.
inline constexpr std::uint64_t mean_sheet_part_rows = 128;

/// A sheet split into parts for publication.
struct packed_sheet
{
    /// Lists the parts. Published last, so that all parts exist when it is read.
    sheet_manifest manifest;
    /// The parts, each within the size limit unless it holds a single larger row.
    std::vector<sheet_part> parts;
};

/// Splits exported tables into parts of at most `limit` bytes and makes their manifest.
/// Boundaries depend on the content of the rows (content-defined chunking,
/// Muthitacharoen, Chen and Mazières 2001), except where a part reaches the limit.
///
/// Each table is the text of one CSV file and is named as in `sheet_part`. The header row
/// is repeated in every part. Rows are not changed; a row larger than the limit gets a
/// part of its own, which `read_sheet` rejects above `max_sheet_part_bytes`.
packed_sheet pack_sheet(std::uint64_t number, std::span<sheet_part const> tables,
                        std::size_t limit = max_sheet_part_bytes);

} // namespace marjorampath
