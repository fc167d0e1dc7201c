#pragma once

#include <marjorampath/core/time.hpp>

#include <cstdint>

namespace marjorampath
{

/// Estimates the run time of a request from the run times of earlier ones.
class service_estimate
{
public:
    /// Creates an estimate with an initial time per generated token.
    explicit service_estimate(duration token_time) noexcept;

    /// Records a finished run of `tokens` generated tokens. `max_tokens` is zero if the
    /// service generates no tokens; a run with zero `tokens` counts as one of such a
    /// service.
    void finished(duration took, std::uint32_t tokens, std::uint32_t max_tokens) noexcept;

    /// Expected time of a run that generates at most `max_tokens` tokens.
    [[nodiscard]] duration expect(std::uint32_t max_tokens) const noexcept;

private:
    // Moving average of seconds per generated token
    double token_seconds_;
    // Moving average of generated tokens divided by `max_tokens`
    double token_share_ = 0.7;
    // Moving average of seconds per run without generated tokens; zero before the first
    double plain_seconds_ = 0.0;
};

} // namespace marjorampath
