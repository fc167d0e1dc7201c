#include <marjorampath/limits/service_estimate.hpp>

#include <algorithm>
#include <chrono>

namespace marjorampath
{

namespace
{

// Weight of a new sample in the moving average
constexpr double sample_weight = 0.02;

void smooth(double& value, double sample) noexcept
{
    value += sample_weight * (sample - value);
}

} // namespace

service_estimate::service_estimate(duration token_time) noexcept
    : token_seconds_(std::chrono::duration<double>(token_time).count())
{
}

void service_estimate::finished(duration took, std::uint32_t tokens,
                                std::uint32_t max_tokens) noexcept
{
    auto const seconds = std::chrono::duration<double>(took).count();
    if (tokens == 0 || max_tokens == 0)
    {
        smooth(plain_seconds_, seconds);
        return;
    }
    smooth(token_seconds_, seconds / tokens);
    smooth(token_share_, std::min(1.0, static_cast<double>(tokens) / max_tokens));
}

duration service_estimate::expect(std::uint32_t max_tokens) const noexcept
{
    auto const seconds =
        max_tokens > 0 ? max_tokens * token_share_ * token_seconds_ : plain_seconds_;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace marjorampath
