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
    /// Prompt prefix that is shared with other requests of the adapter; zero for none.
    std::uint64_t prefix = 0;
    /// Number of prompt tokens.
    std::uint32_t prompt_tokens = 0;
    /// Of these, the number in the shared prefix.
    std::uint32_t prefix_tokens = 0;
    /// Number of tokens that are generated.
    std::uint32_t tokens = 0;
    /// Largest number of tokens, as the caller states it.
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

/// What happens in one experiment, apart from the policy's decisions.
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
    /// Number of adapters that are hot after the shift and were not before.
    std::uint32_t shifted = 0;
    /// Start of what is measured.
    duration measured_from{0};
    /// End of the arrivals.
    duration end{0};
};

/// What the popularity of adapters does.
enum class popularity_change
{
    /// It stays.
    none,
    /// The hot set changes at once in the middle.
    shift,
    /// 41 % of the adapters wake up or fall idle within an hour.
    waking,
    /// The rate is three times as high for a minute, with other adapters.
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
    /// Loads a second that the store allows.
    double loads_per_second = 2;
    /// Number of adapters.
    std::uint32_t adapters = 3'000;
    /// Exponent of the Zipf distribution of popularity.
    double zipf = 1.2;
    /// Requests a second.
    double rate = 8;
    /// Mean number of generated tokens.
    double mean_tokens = 64;
    /// Time from arrival to the deadline.
    duration time_limit = std::chrono::seconds(10);
    /// Parts of the requests by team.
    std::vector<double> team_fractions{0.5, 0.5};
    /// Length of the trace.
    duration length = std::chrono::minutes(15);
    /// What the popularity does.
    popularity_change change = popularity_change::none;
    /// Mean time between restarts of an engine; zero for none.
    duration mean_restart_interval{0};
    /// Whether all engines restart in the middle.
    bool restart_all = false;
    /// Probability that a load fails.
    double load_failure_probability = 0;
};

/// Makes the trace of a scenario from a seed.
trace make_trace(scenario const& chosen, std::uint64_t seed);

} // namespace marjorampath::bench
