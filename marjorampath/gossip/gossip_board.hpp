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

/// The lease holders that this host heard of, and the choice of what rides on a message
/// beside host records.
class gossip_board
{
public:
    /// Makes an empty board that puts at most `budget` bytes on a message and passes each
    /// hint on `sends` times.
    gossip_board(std::size_t budget, std::uint32_t sends);

    /// Takes a hint; true where it was news.
    bool on_hint(lease_hint const& hint);

    /// The hint of a resource, or null.
    [[nodiscard]] lease_hint const* find(resource_id resource) const;

    /// Adds news to a message: the sheet in force, then suspects, releases and hints as
    /// far as the budget reaches.
    void fill(gossip& news, std::uint64_t sheet_number, std::uint64_t sheet_digest,
              std::vector<conviction> const& convictions,
              std::vector<conviction_release> const& releases);

private:
    struct entry
    {
        // What is known
        lease_hint hint;
        // Number of messages that it still goes into
        std::uint32_t sends_left = 0;
    };

    // Bytes beside host records in one message
    std::size_t budget_;
    // Number of messages that a hint goes into
    std::uint32_t sends_;
    // Hints by resource
    std::map<resource_id, entry> hints_;
    // Place of the next conviction and release, so that all get their turn
    std::size_t next_conviction_ = 0;
    std::size_t next_release_ = 0;
};

} // namespace marjorampath
