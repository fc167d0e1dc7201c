#pragma once

#include <marjorampath/core/time.hpp>

namespace marjorampath
{

/// What a home may not know of a shard because records were lost.
struct key_gap
{
    /// Time until every lost record would have expired; zero where none is missing.
    duration remaining{0};
    /// Keys that carry a time from here on cannot be among the lost ones.
    wall_milliseconds complete_from{0};
};

} // namespace marjorampath
