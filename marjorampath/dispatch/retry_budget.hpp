#pragma once

#include <marjorampath/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// Limits on repeated attempts at a service, for all hosts together.
struct retry_budget_options
{
    /// Repeats allowed per caller's request, besides `extra_repeats_per_window`.
    double ratio = 0.2;
    /// Length of the sliding window.
    duration window = std::chrono::seconds(10);
    /// Repeats allowed per window in addition to the ratio, for all hosts together.
    double extra_repeats_per_window = 50;
    /// Fraction of the limit that is used; the rest absorbs differences between the
    /// windows of the hosts.
    double used_fraction = 0.8;
    /// Time after the start of the process without extra repeats: it does not know yet
    /// how many hosts share them.
    duration settling_time = std::chrono::seconds(2);
};

/// One host's share of the limit on repeated attempts at one service.
///
/// The ratio applies to the host's own requests, and the extra repeats are divided by the
/// number of hosts. All hosts together thus stay within the limit without communication,
/// however requests are distributed among them.
class retry_budget
{
public:
    /// Constructs a budget with an empty window, in a process that started at a time.
    retry_budget(retry_budget_options options, time_point started_at)
        : options_(options), started_at_(started_at)
    {
    }

    /// Counts a caller's request.
    void on_request(time_point now);

    /// Counts one more repeat and returns true, or returns false if the limit is
    /// reached. `hosts` is the number of hosts that share the limit, with those that were
    /// lost within a window: what they used still counts.
    bool take(time_point now, std::size_t hosts);

    /// Replaces the limits; the counts are kept.
    void set_options(retry_budget_options options) noexcept
    {
        options_ = options;
    }

private:
    static constexpr std::size_t buckets_per_window = 10;

    // Counts of one part of the window
    struct bucket
    {
        // Index since the epoch of the clock; -1 if never used
        std::int64_t number = -1;
        // Callers' requests
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    // The bucket of `now`, cleared if it still holds older counts
    bucket& current(time_point now);

    retry_budget_options options_;
    time_point started_at_;
    // Ring of the window's buckets and the current one
    std::array<bucket, buckets_per_window + 1> buckets_{};
};

} // namespace marjorampath
