#pragma once

#include <marjorampath/core/time.hpp>

#include <random>

namespace marjorampath
{

/// A duration drawn evenly from half of a base to one and a half of it, so that retries
/// that failed together do not come back together.
template <std::uniform_random_bit_generator Generator>
duration jittered(duration base, Generator& random)
{
    constexpr std::uint64_t steps = 1'024;
    auto const step = static_cast<std::int64_t>((random() - Generator::min()) % steps);
    return base / 2 + base / static_cast<std::int64_t>(steps) * step;
}

} // namespace marjorampath
