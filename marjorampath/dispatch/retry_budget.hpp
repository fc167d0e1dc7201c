#pragma once

#include <marjorampath/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// Bounds of a service's repeated sends, over all hosts.
struct retry_budget_options
{
    /// Repeats allowed for each request of a caller.
    double ratio = 0.2;
    /// Length of the sliding window.
    duration window = std::chrono::seconds(10);
    /// Repeats allowed in a window beside the ratio, over all hosts.
    double extra = 50;
    /// Part of the bound that is used; the rest absorbs the differences between the
    /// hosts' windows.
    double used_fraction = 0.8;
};

/// One host's part of the bound on repeated sends to one service.
///
/// The ratio holds for the host's own requests; the extra is divided by the hosts. So the
/// sum over all hosts keeps the bound whatever reaches which host, without messages.
class retry_budget
{
public:
    /// Makes a budget that has seen no request.
    explicit retry_budget(retry_budget_options options) : options_(options) {}

    /// Notes a request of a caller.
    void on_request(time_point now);

    /// Whether one more repeat is within the bound; counts it if so.
    bool take(time_point now, std::size_t hosts);

    /// Takes other bounds into force.
    void set_options(retry_budget_options options) noexcept
    {
        options_ = options;
    }

private:
    // Parts of the window that are counted together
    static constexpr std::size_t parts = 10;

    // What was seen in one part of the window
    struct part
    {
        // Number of the part since the clock's zero
        std::int64_t number = -1;
        // Requests of callers
        std::uint32_t requests = 0;
        // Repeats
        std::uint32_t repeats = 0;
    };

    // The part that `now` falls into, emptied where it is new
    part& current(time_point now);

    // Bounds
    retry_budget_options options_;
    // The window and the part that it moves into
    std::array<part, parts + 1> parts_{};
};

} // namespace marjorampath
