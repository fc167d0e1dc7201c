#pragma once

#include <marjorampath/core/store_position.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/endpoint_history.hpp>

#include <chrono>
#include <vector>

namespace marjorampath
{

/// Settings of the estimate of the times of changes.
struct change_time_options
{
    /// Least time between two writes of an endpoint to its own entry: endpoints announce
    /// themselves about each 1.2 s.
    duration min_write_interval = std::chrono::milliseconds(1'100);
    /// Number of endpoints that must have written as often as it takes: a few may write
    /// out of turn.
    std::uint32_t min_writers = 3;
};

/// A time by which a position of service discovery had been reached.
struct reached_position
{
    store_position position;
    time_point reached_by;
};

/// The latest times at which the changes of a history were made, and first the one at
/// which its beginning was reached: `times[0]`, then one for each change.
///
/// Positions have no times. A change was made before any time at which its position had
/// been reached, and earlier by the writes of each endpoint between the two.
std::vector<time_point> latest_change_times(endpoint_history const& history,
                                            std::vector<reached_position> const& reached,
                                            change_time_options const& options);

} // namespace marjorampath
