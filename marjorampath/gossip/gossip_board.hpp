#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/gossip/gossip.hpp>
#include <marjorampath/gossip/lease_hint.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace marjorampath
{

/// Keeps the lease holders known from gossip and selects the gossip other than host
/// records for each message.
class gossip_board
{
public:
    /// Makes an empty board that adds at most `max_bytes` bytes to a message and sends
    /// each hint `sends` times.
    gossip_board(std::size_t max_bytes, std::uint32_t sends);

    /// Stores a hint; returns whether it is newer than the stored one.
    bool on_hint(lease_hint const& hint);

    /// The hint for a resource, or null.
    [[nodiscard]] lease_hint const* find(resource_id resource) const;

    /// Fills in the sheet in force, then convictions, releases and hints, in this order,
    /// up to the size limit.
    void fill(gossip& updates, std::uint64_t sheet_number, std::uint64_t sheet_digest,
              std::vector<conviction> const& convictions,
              std::vector<conviction_release> const& releases);

private:
    struct entry
    {
        lease_hint hint;
        // Number of messages in which it is still to be sent
        std::uint32_t sends_left = 0;
    };

    // Size limit of the gossip other than host records in one message, in bytes
    std::size_t max_bytes_;
    // Number of messages in which each hint is sent
    std::uint32_t sends_;
    // Hints by resource
    std::map<resource_id, entry> hints_;
    // Round-robin positions in the lists of convictions and releases
    std::size_t next_conviction_ = 0;
    std::size_t next_release_ = 0;
};

} // namespace marjorampath
