#pragma once

#include <marjorampath/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marjorampath
{

/// Policy and limits of a cell.
struct cell_options
{
    /// Preference for idle endpoints in the placement of adapters and their requests: 0
    /// prefers the busiest (full batches), 1 the least busy (a load stalls fewer running
    /// requests), 0.5 ignores utilisation.
    double stall_weight = 1.0;
    /// Adapter loads per second that the weight store allows this cell.
    double loads_per_second = 2.0;
    /// Largest number of loads that may start at once after an idle time.
    double load_burst = 2.0;
    /// Largest number of loads that run at once.
    std::uint32_t loads_in_transit = 8;
    /// Expected time of one load.
    duration load_time = std::chrono::milliseconds(250);
    /// Largest number of queued requests.
    std::size_t queue_bound = 4'096;
    /// Number of adapters above which the state of idle ones is erased.
    std::size_t adapter_bound = 32'768;
    /// Half-life of the demand estimate of an adapter, in requests per adapter slot.
    double demand_half_life = 40;
    /// Longest time by which an endpoint's report may lag behind the orders it carried
    /// out.
    duration report_lag = std::chrono::seconds(3);
    /// First back-off after a failed load; doubles with each further failure.
    duration load_backoff = std::chrono::milliseconds(250);
    /// Longest back-off after failed loads.
    duration load_backoff_limit = std::chrono::seconds(30);
    /// Consecutive load failures after which requests for a version are refused at once.
    std::uint32_t bad_version_failures = 3;
    /// Consecutive failures after which an endpoint is ejected.
    std::uint32_t ejection_failures = 5;
    /// Time of the first ejection, during which the endpoint gets no requests; doubles
    /// with each consecutive ejection.
    duration ejection_time = std::chrono::seconds(1);
    /// Longest time of one ejection.
    duration ejection_limit = std::chrono::seconds(30);
    /// Retries that each first attempt of a team adds to its retry budget.
    double retry_ratio = 0.2;
    /// Initial and largest retry budget of a team.
    double retry_burst = 64;
    /// Initial estimate of the time per generated token, until runs are measured.
    duration token_time = std::chrono::milliseconds(20);
    /// Seed of the random number generator for jitter.
    std::uint64_t seed = 1;
};

/// Policy with few load stalls, the profile named `ennstal`.
cell_options low_stall_profile();

/// Policy with full batches and more loads per second, the profile named `trazalgodon`.
cell_options full_batch_profile();

/// The profile named `ennstal` or `trazalgodon`; nothing for any other name.
std::optional<cell_options> find_profile(std::string_view name);

} // namespace marjorampath
