#pragma once

#include <marjorampath/gossip/lease_hint.hpp>
#include <marjorampath/membership/host_record.hpp>
#include <marjorampath/suspect/conviction.hpp>
#include <marjorampath/suspect/conviction_release.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// Updates that are piggybacked on every probe and reply, within a size limit.
struct gossip
{
    /// Host states.
    std::vector<host_record> hosts;
    /// Number of the sender's sheet in force, zero if it has none.
    std::uint64_t sheet_number = 0;
    /// Digest of that sheet.
    std::uint64_t sheet_digest = 0;
    /// Known lease holders.
    std::vector<lease_hint> leases;
    /// Suspects and convictions.
    std::vector<conviction> convictions;
    /// Operators' releases of convictions.
    std::vector<conviction_release> releases;
};

} // namespace marjorampath
