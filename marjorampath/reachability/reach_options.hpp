#pragma once

#include <marjorampath/core/time.hpp>

#include <cstddef>

namespace marjorampath
{

/// Settings of a `reach_monitor`.
struct reach_options
{
    /// Failures within `failure_window` after which a service's endpoints are probed.
    std::size_t min_failures = 2;
    /// Time for which a failure counts.
    duration failure_window = std::chrono::seconds(1);
    /// Time without any byte from a service's endpoints, while requests wait there, after
    /// which they are probed. A sound engine may be silent for about a second, but hardly
    /// all of a service are.
    duration max_silence = std::chrono::milliseconds(700);
    /// Time between two probes of a service that is not reached.
    duration cut_probe_interval = std::chrono::milliseconds(300);
    /// Least time between two probes of a service that is reached.
    duration probe_interval = std::chrono::seconds(1);
};

} // namespace marjorampath
