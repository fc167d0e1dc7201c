#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// Request content that was running when endpoints crashed, identified by its
/// fingerprint. A record with one crash is a suspect, with two distinct crashes a
/// conviction.
struct conviction
{
    /// Content of the request.
    fingerprint_id fingerprint;
    /// Identifier of the first crash: a hash of the endpoint and its boot number.
    std::uint64_t first_crash = 0;
    /// Identifier of the second crash, zero if there was none.
    std::uint64_t second_crash = 0;
    /// Wall-clock time of the latest crash; a release of the same time or later ends the
    /// record.
    wall_milliseconds crashed_at{0};
    /// Time until the record expires.
    duration remaining{0};
};

} // namespace marjorampath
