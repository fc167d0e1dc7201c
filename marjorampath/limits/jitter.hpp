#pragma once

#include <marjorampath/core/time.hpp>

#include <random>

namespace marjorampath
{

/// A duration drawn uniformly from 0.5 to 1.5 times `base`, so that retries after a
/// common failure do not coincide.
template <std::uniform_random_bit_generator Generator>
duration jittered(duration base, Generator& random)
{
    constexpr std::uint64_t steps = 1'024;
    auto const step = static_cast<std::int64_t>((random() - Generator::min()) % steps);
    return base / 2 + base / static_cast<std::int64_t>(steps) * step;
}

} // namespace marjorampath
