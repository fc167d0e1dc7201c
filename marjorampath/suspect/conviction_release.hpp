#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

namespace marjorampath
{

/// An operator's command to drop a conviction, spread by gossip like the conviction
/// itself.
struct conviction_release
{
    /// Content of the request.
    fingerprint_id fingerprint;
    /// Wall-clock time of the command; crashes up to this time are dropped.
    wall_milliseconds released_at{0};
    /// Time for which the command is kept and spread.
    duration remaining{0};
};

} // namespace marjorampath
