#pragma once

#include <marjorampath/sheet/sheet_part.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// Reply to a `sheet_request`.
struct sheet_reply
{
    /// Number of the sender's sheet in force, zero if it has none.
    std::uint64_t number = 0;
    /// Its manifest as CSV; empty unless the sheet is newer than the requester's.
    std::string manifest;
    /// The parts that the requester does not have.
    std::vector<sheet_part> parts;
};

} // namespace marjorampath
