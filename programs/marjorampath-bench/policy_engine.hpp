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

/// Time of one step of an engine that runs a batch: every running request gets a token.
duration token_time(std::size_t batch);

/// A model engine with continuous batching, in virtual time. A step takes longer with a
/// larger batch; the prompt of a new request stops the batch while it is processed,
/// except for a prefix that is in the engine's cache.
class fake_engine
{
public:
    /// What an engine holds of an adapter.
    struct resident_adapter
    {
        /// Time at which the load finished.
        time_point loaded_at;
    };

    /// Starts a request.
    void start(std::uint64_t run, trace_request const& request, time_point now);

    /// Stops a run that has not finished.
    void stop(std::uint64_t run, time_point now);

    /// Time at which the next run finishes, or nothing where none runs.
    [[nodiscard]] std::optional<time_point> next_finish(time_point now) const;

    /// Takes the runs that have finished by now.
    std::vector<std::uint64_t> take_finished(time_point now);

    /// Restarts empty; returns the runs that were lost.
    std::vector<std::uint64_t> restart(time_point now);

    /// Number of running requests.
    [[nodiscard]] std::size_t running() const noexcept
    {
        return targets_.size();
    }

    /// Total time during which at least one request ran.
    [[nodiscard]] duration busy() const noexcept
    {
        return busy_;
    }

    /// Moves to a time, which is not before the last one.
    void advance(time_point now);

    /// Forgets the time that it was busy so far.
    void reset_busy(time_point now);

    /// Adapters that it holds.
    std::unordered_map<std::uint32_t, resident_adapter> resident;
    /// Changes with every start and stop, so that an older forecast is known as such.
    std::uint64_t generation = 0;

private:
    // Whether the prefix was cached; it is now
    bool use_prefix(std::uint64_t prefix);

    // Number of steps that the engine has made
    double steps_ = 0;
    // Time that the batch still stands still for prompts
    duration prompt_time_{0};
    // Time up to which it was moved
    time_point moved_to_{};
    // Total time with a batch
    duration busy_{0};
    // Runs by the number of steps at which they finish
    std::multimap<double, std::uint64_t> targets_;
    // Where each run is in `targets_`
    std::unordered_map<std::uint64_t, std::multimap<double, std::uint64_t>::iterator>
        runs_;
    // Cached prefixes, the latest used first
    std::list<std::uint64_t> prefixes_;
};

} // namespace marjorampath::bench
