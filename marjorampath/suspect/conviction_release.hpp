#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

namespace marjorampath
{

/// An operator's order to forget a conviction, spread like the conviction itself.
struct conviction_release
{
    /// Content of the request.
    fingerprint_id fingerprint;
    /// Wall-clock time of the order: crashes that are not younger are forgotten.
    wall_milliseconds released_at{0};
    /// Time for which the order is remembered and passed on.
    duration remaining{0};
};

} // namespace marjorampath
