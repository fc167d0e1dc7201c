#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace marjorampath::test
{

/// The seeds of a schedule test: `count` seeds from `first` on, or the single seed in the
/// environment variable MARJORAMPATH_SEED. MARJORAMPATH_SCHEDULES overrides the count.
inline std::vector<std::uint64_t> schedule_seeds(std::uint64_t first, std::uint64_t count)
{
    if (char const* const seed = std::getenv("MARJORAMPATH_SEED"))
        return {std::stoull(seed)};
    if (char const* const schedules = std::getenv("MARJORAMPATH_SCHEDULES"))
        count = std::stoull(schedules);
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        seeds.push_back(seed);
    return seeds;
}

} // namespace marjorampath::test
