#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// Asks a peer for its sheet, as far as it is newer.
struct sheet_request
{
    /// Number of the sheet in force at the asker, zero for none.
    std::uint64_t number = 0;
    /// Digests of the parts that the asker has.
    std::vector<std::string> part_digests;
};

} // namespace marjorampath
