#include <marjorampath/stream_origin/stream_begin.hpp>

namespace marjorampath
{

stream_begin bound_stream_begin(continued_attempt const& attempt, duration max_stream_age)
{
    // A caller that waits no less than the timeout tells nothing: it has received events
    auto const& left = attempt.time_left;
    auto const told_age =
        left && *left < attempt.timeout ? attempt.timeout - *left : max_stream_age;
    return {.earliest = attempt.arrived - max_stream_age,
            .told_earliest = attempt.arrived - told_age,
            .latest = attempt.arrived};
}

} // namespace marjorampath
