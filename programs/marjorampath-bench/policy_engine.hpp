#pragma once

#include <marjorampath/core/time.hpp>
#include <programs/marjorampath-bench/policy_trace.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marjorampath::bench
{

/// Time of one step of an engine, which generates one token for every request of the
/// batch.
duration step_time(std::size_t batch);

/// A model engine with continuous batching, in virtual time. A step takes longer with a
/// larger batch. Processing the prompt of a new request pauses the batch; a prefix in the
/// engine's cache takes no time.
class fake_engine
{
public:
    /// State of an adapter that the engine holds.
    struct resident_adapter
    {
        /// Time at which the load finished.
        time_point loaded_at;
    };

    /// Starts a run of a request.
    void start(std::uint64_t run, trace_request const& request, time_point now);

    /// Stops a run that has not finished.
    void stop(std::uint64_t run, time_point now);

    /// Time at which the next run finishes, or nothing if no request runs.
    [[nodiscard]] std::optional<time_point> next_finish(time_point now) const;

    /// Removes and returns the runs that have finished by `now`.
    std::vector<std::uint64_t> take_finished(time_point now);

    /// Restarts with no adapter loaded; returns the runs that were lost.
    std::vector<std::uint64_t> restart(time_point now);

    /// Number of running requests.
    [[nodiscard]] std::size_t running() const noexcept
    {
        return finish_steps_.size();
    }

    /// Time since the last reset during which at least one request ran.
    [[nodiscard]] duration busy() const noexcept
    {
        return busy_;
    }

    /// Advances the state to a time, which must not be before the previous one.
    void advance(time_point now);

    /// Resets the busy time to zero.
    void reset_busy(time_point now);

    /// Adapters that the engine holds.
    std::unordered_map<std::uint32_t, resident_adapter> resident;
    /// Incremented when a run starts or ends, so that outdated finish events are
    /// recognised.
    std::uint64_t generation = 0;

private:
    // Adds a prefix to the cache; returns whether it was cached already
    bool use_prefix(std::uint64_t prefix);

    // Number of steps since the engine was created
    double steps_ = 0;
    // Remaining time for which the batch is paused to process prompts
    duration prompt_time_{0};
    // Time to which the state was advanced
    time_point advanced_to_{};
    // Time with at least one run since the last reset
    duration busy_{0};
    // Runs by the number of steps at which they finish
    std::multimap<double, std::uint64_t> finish_steps_;
    // Position of each run in `finish_steps_`
    std::unordered_map<std::uint64_t, std::multimap<double, std::uint64_t>::iterator>
        runs_;
    // Cached prefixes, most recently used first
    std::list<std::uint64_t> prefixes_;
};

} // namespace marjorampath::bench
