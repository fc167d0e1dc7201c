#pragma once

#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath::bench
{

/// One request of a trace.
struct trace_request
{
    /// Time since the start of the trace.
    duration at{0};
    /// Number of the adapter.
    std::uint32_t adapter = 0;
    /// Number of the team.
    std::uint32_t team = 0;
    /// Prompt prefix, which other requests of the adapter share; zero for none.
    std::uint64_t prefix = 0;
    /// Number of prompt tokens.
    std::uint32_t prompt_tokens = 0;
    /// Number of prompt tokens in the shared prefix.
    std::uint32_t prefix_tokens = 0;
    /// Number of generated tokens.
    std::uint32_t tokens = 0;
    /// Limit of generated tokens that the caller states.
    std::uint32_t max_tokens = 0;
    /// Time from arrival to the deadline.
    duration time_limit{0};
};

/// A restart of an engine.
struct trace_restart
{
    /// Time since the start of the trace.
    duration at{0};
    /// Number of the engine.
    std::uint32_t engine = 0;
};

/// Input of one experiment, which does not depend on the policy.
struct trace
{
    /// Requests in the order of time.
    std::vector<trace_request> requests;
    /// Restarts in the order of time.
    std::vector<trace_restart> restarts;
    /// Probability that a load fails.
    double load_failure_probability = 0;
    /// Time of the shift of the hot set; zero for none.
    duration shift{0};
    /// Number of adapters that are hot only after the shift.
    std::uint32_t shifted = 0;
    /// Start of the measured time.
    duration measured_from{0};
    /// End of the arrivals and of the measured time.
    duration end{0};
};

/// How the popularity of adapters changes.
enum class popularity_change
{
    /// It does not change.
    none,
    /// All ranks change at once in the middle of the trace.
    shift,
    /// 41 % of the adapters become active or idle within an hour.
    waking,
    /// All ranks change in the middle, and the rate is three times as high for a minute.
    burst
};

/// The platform and the load of one experiment.
struct scenario
{
    /// Name in tables.
    std::string name;
    /// Name of the policy profile.
    std::string profile;
    /// Number of engines.
    std::uint32_t engines = 9;
    /// Adapter slots of an engine.
    std::uint32_t slots = 8;
    /// Requests that an engine runs at once.
    std::uint32_t concurrency = 16;
    /// Loads per second that the store allows.
    double loads_per_second = 2;
    /// Number of adapters.
    std::uint32_t adapters = 3'000;
    /// Exponent of the Zipf distribution of popularity.
    double zipf = 1.2;
    /// Requests per second.
    double rate = 8;
    /// Mean number of generated tokens.
    double mean_tokens = 64;
    /// Time from arrival to the deadline.
    duration time_limit = std::chrono::seconds(10);
    /// Fraction of the requests of each team.
    std::vector<double> team_fractions{0.5, 0.5};
    /// Length of the trace.
    duration length = std::chrono::minutes(15);
    /// How the popularity of adapters changes.
    popularity_change change = popularity_change::none;
    /// Mean time between restarts of an engine; zero for none.
    duration mean_restart_interval{0};
    /// Whether all engines restart in the middle of the trace.
    bool restart_all = false;
    /// Probability that a load fails.
    double load_failure_probability = 0;
};

/// Generates the trace of a scenario from a seed.
trace make_trace(scenario const& setup, std::uint64_t seed);

} // namespace marjorampath::bench
