#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// Requests a peer's sheet if it is newer, without the parts that the requester has.
struct sheet_request
{
    /// Number of the requester's sheet in force, zero if it has none.
    std::uint64_t number = 0;
    /// Digests of the parts that the requester has.
    std::vector<std::string> part_digests;
};

} // namespace marjorampath
