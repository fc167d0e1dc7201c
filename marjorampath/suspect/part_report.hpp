#pragma once

#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace marjorampath
{

/// What one host knows of the crashes under one part of a prompt. Sent to other hosts, so
/// times are ages.
struct part_report
{
    /// A crash of an endpoint at which a request with the part was in flight.
    struct crash
    {
        /// Identifies the endpoint's process; see `crash_id`.
        std::uint64_t id = 0;
        /// Time since the crash.
        duration age{0};
    };

    /// The part's identifier.
    std::uint64_t part = 0;
    /// Crashes that no later answer has refuted.
    std::vector<crash> crashes;
    /// Time since the latest answer to a request with the part was written without a
    /// crash; refutes all crashes before it. Empty if the sender saw none.
    std::optional<duration> sound_age;
};

} // namespace marjorampath
