#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

namespace marjorampath
{

/// Frequency of requests with exponential ageing.
///
/// Holds the binary logarithm of the sum of 2^a over the ages a, in half-lives of a
/// common clock, at which requests came. All values age alike, so their order changes
/// only with new requests and they may be kept in a sorted index.
class demand_estimate
{
public:
    /// Notes a request at an age.
    void add(double age) noexcept
    {
        auto const high = std::max(level_, age);
        auto const low = std::min(level_, age);
        level_ = high + std::log2(1.0 + std::exp2(low - high));
    }

    /// Forgets all requests.
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
    // Logarithm of the frequency; no request yet
    double level_ = -std::numeric_limits<double>::max();
};

} // namespace marjorampath
