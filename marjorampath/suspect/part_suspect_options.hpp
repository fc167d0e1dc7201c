#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>

namespace marjorampath
{

/// Settings of a `part_suspect_registry`.
struct part_suspect_options
{
    /// Crashes under a part, without a sound answer behind them, that convict it.
    std::size_t crashes_to_convict = 3;
    /// Crashes closer together than this count as one: endpoints that fail together have
    /// another cause.
    duration min_crash_gap = std::chrono::milliseconds(250);
    /// Time within which it must be known that an endpoint whose answers broke off has
    /// crashed: longer than a crashed endpoint stays listed and needs to restart.
    duration confirmation_timeout = std::chrono::seconds(8);
    /// Time for which a suspicion is kept after its latest crash.
    duration suspect_duration = std::chrono::minutes(10);
    /// Duration of a conviction after its latest crash.
    duration conviction_duration = std::chrono::hours(1);
    /// Time for which a sound answer is remembered, to refute crashes that other hosts
    /// report later.
    duration sound_answer_memory = std::chrono::seconds(30);
    /// Time for which a suspicion or its refutation is spread. Convictions are spread for
    /// as long as they are in force.
    duration spread_time = std::chrono::seconds(5);
    /// Largest number of parts in one message.
    std::size_t max_spread_records = 24;
    /// Largest number of suspected parts, and of crashes that are kept for one.
    std::size_t max_records = 4'096;
    std::size_t max_crashes_per_part = 8;
};

} // namespace marjorampath
