#pragma once

#include <marjorampath/sheet/sheet_manifest.hpp>
#include <marjorampath/sheet/sheet_part.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace marjorampath
{

/// A sheet in the form in which it is published.
struct packed_sheet
{
    /// Names the parts; published last, so that all parts are there when it is read.
    sheet_manifest manifest;
    /// The parts, each smaller than the limit.
    std::vector<sheet_part> parts;
};

/// Splits exported tables into parts of at most `limit` bytes and makes their manifest.
///
/// Each table is the text of one CSV file and is named as in `sheet_part`. The header row
/// is repeated in every part. Rows are not changed; a row that is larger than the limit
/// makes a part of its own, which `read_sheet` rejects.
packed_sheet pack_sheet(std::uint64_t number, std::span<sheet_part const> tables,
                        std::size_t limit = max_sheet_part_bytes);

} // namespace marjorampath
