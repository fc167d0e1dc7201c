#pragma once

#include <marjorampath/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marjorampath
{

/// The policy of a cell and its bounds.
struct cell_options
{
    /// Moves the policy between full batches (0) and few load stalls (1).
    double stall_weight = 1.0;
    /// Adapter loads a second that the weight store allows this cell.
    double loads_per_second = 2.0;
    /// Loads that may be started back to back after a pause.
    double load_burst = 2.0;
    /// Largest number of loads in transit at once.
    std::uint32_t loads_in_transit = 8;
    /// Expected time of one load, until loads were measured.
    duration load_time = std::chrono::milliseconds(250);
    /// Largest number of queued requests of the cell.
    std::size_t queue_bound = 4'096;
    /// Number of adapters above which idle ones are forgotten.
    std::size_t adapter_bound = 32'768;
    /// Half-life of the demand estimate of an adapter, in requests by adapter slot.
    double demand_half_life = 40;
    /// Time for which an endpoint's report may lag behind the orders that it was given.
    duration report_lag = std::chrono::seconds(3);
    /// First pause after a failed load; doubles with each further failure.
    duration load_backoff = std::chrono::milliseconds(250);
    /// Longest pause after failed loads.
    duration load_backoff_limit = std::chrono::seconds(30);
    /// Failures in a row after which a version's requests are refused at once.
    std::uint32_t bad_version_failures = 3;
    /// Failures in a row after which an endpoint gets no requests for a time.
    std::uint32_t ejection_failures = 5;
    /// First time for which an endpoint is ejected; doubles with each ejection in a row.
    duration ejection_time = std::chrono::seconds(1);
    /// Longest time for which an endpoint is ejected.
    duration ejection_limit = std::chrono::seconds(30);
    /// Repeated attempts allowed for each first attempt of a team.
    double retry_ratio = 0.2;
    /// Repeated attempts of a team allowed on top of the ratio.
    double retry_burst = 64;
    /// Expected time of one generated token, until runs were measured.
    duration token_time = std::chrono::milliseconds(20);
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

/// The policy for customers that weigh load stalls more heavily.
cell_options low_stall_profile();

/// The policy for customers that weigh batch efficiency more heavily.
cell_options full_batch_profile();

/// The profile of a name, `ennstal` or `trazalgodon`, or nothing where there is none.
std::optional<cell_options> find_profile(std::string_view name);

} // namespace marjorampath
