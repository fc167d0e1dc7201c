#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

namespace marjorampath
{

/// Frequency of requests with exponential ageing.
///
/// Holds the binary logarithm of the sum of 2^a over the clock readings a, in half-lives,
/// at which requests arrived. All estimates of one clock age alike, so their order
/// changes only with new requests and they can be kept in a sorted index.
class demand_estimate
{
public:
    /// Adds a request that arrived at the given clock reading, in half-lives.
    void add(double reading) noexcept
    {
        auto const high = std::max(level_, reading);
        auto const low = std::min(level_, reading);
        level_ = high + std::log2(1.0 + std::exp2(low - high));
    }

    /// Resets the estimate to no requests.
    void clear() noexcept
    {
        *this = {};
    }

    /// Logarithm of the frequency, comparable between adapters of one clock.
    [[nodiscard]] double level() const noexcept
    {
        return level_;
    }

private:
    // Logarithm of the frequency; the initial value stands for no requests
    double level_ = -std::numeric_limits<double>::max();
};

} // namespace marjorampath
