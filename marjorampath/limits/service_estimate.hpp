#pragma once

#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// Estimates how long a request will run, from how long others ran.
class service_estimate
{
public:
    /// Starts with an expected time of one generated token.
    explicit service_estimate(duration token_time) noexcept;

    /// Notes a run that finished. `max_tokens` is zero where nothing is generated.
    void finished(duration took, std::uint32_t tokens, std::uint32_t max_tokens) noexcept;

    /// Expected time of a run of at most `max_tokens` tokens.
    [[nodiscard]] duration expect(std::uint32_t max_tokens) const noexcept;

private:
    // Seconds for each generated token, smoothed
    double token_seconds_;
    // Part of the largest number of tokens that is generated, smoothed
    double token_share_ = 0.7;
    // Seconds of a run that generates nothing, smoothed
    double plain_seconds_ = 0.0;
};

} // namespace marjorampath
