#pragma once

#include <marjorampath/gossip/lease_hint.hpp>
#include <marjorampath/membership/host_record.hpp>
#include <marjorampath/suspect/conviction.hpp>
#include <marjorampath/suspect/conviction_release.hpp>

#include <cstdint>
#include <vector>

namespace marjorampath
{

/// News that rides on each probe and reply, within a budget of bytes.
struct gossip
{
    /// Host states.
    std::vector<host_record> hosts;
    /// Number of the sheet in force at the sender, zero for none.
    std::uint64_t sheet_number = 0;
    /// Digest of that sheet.
    std::uint64_t sheet_digest = 0;
    /// Known lease holders.
    std::vector<lease_hint> leases;
    /// Suspects and convictions.
    std::vector<conviction> convictions;
    /// Releases by operators.
    std::vector<conviction_release> releases;
};

} // namespace marjorampath
