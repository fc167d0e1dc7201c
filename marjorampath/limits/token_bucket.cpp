#include <marjorampath/limits/token_bucket.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace marjorampath
{

namespace
{

// Allows for rounding to nanoseconds, in tokens
constexpr double rounding_tolerance = 1e-6;

} // namespace

token_bucket::token_bucket(double rate, double burst) noexcept
    : rate_(rate), burst_(burst), level_(burst)
{
}

token_bucket token_bucket::empty(double rate, double burst, time_point now) noexcept
{
    token_bucket made(rate, burst);
    made.level_ = 0;
    made.changed_ = now;
    return made;
}

void token_bucket::set_rate(double rate, double burst, time_point now) noexcept
{
    level_ = std::min(level(now), burst);
    changed_ = std::max(changed_, now);
    rate_ = rate;
    burst_ = burst;
}

double token_bucket::level(time_point now) const noexcept
{
    std::chrono::duration<double> const passed = std::max(now - changed_, duration(0));
    return std::min(burst_, level_ + passed.count() * rate_);
}

bool token_bucket::available(time_point now) const noexcept
{
    return level(now) >= 1.0 - rounding_tolerance;
}

void token_bucket::take(time_point now) noexcept
{
    assert(available(now));
    level_ = level(now) - 1.0;
    changed_ = std::max(changed_, now);
}

void token_bucket::add(double tokens) noexcept
{
    level_ = std::min(burst_, level_ + tokens);
}

time_point token_bucket::next_available(time_point now) const noexcept
{
    auto const missing = 1.0 - level(now);
    if (missing <= rounding_tolerance)
        return now;

    // The wait is at most an hour, also at a rate of zero
    constexpr std::chrono::duration<double> max_wait = std::chrono::hours(1);
    auto const wait =
        rate_ > 0 ? std::min(max_wait, std::chrono::duration<double>(missing / rate_))
                  : max_wait;
    return now + std::chrono::duration_cast<duration>(wait) + duration(1);
}

} // namespace marjorampath
