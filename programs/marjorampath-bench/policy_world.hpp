#pragma once

#include <marjorampath/core/time.hpp>
#include <programs/marjorampath-bench/policy_engine.hpp>
#include <programs/marjorampath-bench/policy_store.hpp>
#include <programs/marjorampath-bench/policy_trace.hpp>

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

namespace marjorampath::bench
{

/// State of a request.
enum class request_state
{
    /// Waits for an engine or an adapter.
    waiting,
    /// Runs at an engine.
    running,
    /// Finished within its deadline.
    finished,
    /// Cut off by its deadline while it ran.
    cut,
    /// Refused, or its deadline passed before it ran.
    not_run
};

/// State and results of one request of a trace.
struct request_record
{
    /// State of the request.
    request_state state = request_state::waiting;
    /// Time spent waiting for its adapter to be loaded.
    duration stall{0};
    /// Time at which it finished.
    time_point finished_at;
    /// Engine of the current or last run.
    std::uint32_t engine = 0;
    /// Number of the current attempt.
    std::uint32_t attempt = 0;
};

/// Kinds of events in an experiment.
enum class event_kind
{
    arrival,
    finish,
    load_start,
    load_end,
    unload_end,
    restart,
    deadline,
    wake,
    measure
};

/// An event in virtual time.
struct event
{
    /// Time of the event.
    time_point at;
    /// Orders events of the same time.
    std::uint64_t sequence = 0;
    /// Kind of the event.
    event_kind kind = event_kind::arrival;
    /// Number of the request or adapter; for `measure`, zero at the start and one at the
    /// end.
    std::uint32_t subject = 0;
    /// Number of the engine.
    std::uint32_t engine = 0;
    /// For `finish`, the generation of the engine; for loads and unloads, the boot number
    /// of the engine when the order was given.
    std::uint64_t generation = 0;
};

/// The engines, the store and the requests of one experiment, in virtual time. Policies
/// act through it.
class world
{
public:
    /// Schedules the events of a trace; scenario and trace must outlive the world.
    world(scenario const& setup, trace const& workload, std::uint64_t seed);

    /// Runs a waiting request at an engine that holds its adapter.
    void start(std::uint32_t request, std::uint32_t engine);

    /// Ends a waiting request without a run.
    void refuse(std::uint32_t request);

    /// Orders an engine to load an adapter; the load starts when the store allows it.
    void load(std::uint32_t engine, std::uint32_t adapter);

    /// Orders an engine to unload an adapter, which must not be in use.
    void unload(std::uint32_t engine, std::uint32_t adapter);

    /// Schedules a call of the policy's `on_wake`.
    void wake_at(time_point when);

    /// Schedules an event.
    void schedule(time_point at, event_kind kind, std::uint32_t subject = 0,
                  std::uint32_t engine = 0, std::uint64_t generation = 0);

    /// Removes and returns the next event and advances `now` to it; nothing if none is
    /// left.
    std::optional<event> next();

    /// Schedules the next finish of a run at an engine.
    void schedule_next_finish(std::uint32_t engine);

    /// Stops a running request, because its deadline has passed.
    void cut(std::uint32_t request);

    /// Draws whether a load fails, with the probability of the scenario.
    bool draw_load_failure();

    /// The current time.
    time_point now{};
    /// The scenario.
    scenario const& setup;
    /// Its trace.
    trace const& workload;
    /// The engines.
    std::vector<fake_engine> engines;
    /// Boot number of each engine, from one.
    std::vector<std::uint64_t> boots;
    /// The weight store.
    fake_store store;
    /// State of each request.
    std::vector<request_record> records;
    /// Sum over the engines of the busy time within the measured time.
    duration busy{0};
    /// Loads that were ordered within the measured time.
    std::uint64_t loads = 0;
    /// Unloads that were ordered within the measured time.
    std::uint64_t unloads = 0;

private:
    // Compares events, so that the earliest one is at the top of the queue
    struct later
    {
        bool operator()(event const& left, event const& right) const noexcept
        {
            return left.at != right.at ? left.at > right.at
                                       : left.sequence > right.sequence;
        }
    };

    // Whether the current time lies in the measured time
    [[nodiscard]] bool is_measured() const;

    // Whether any engine holds an adapter
    [[nodiscard]] bool is_resident(std::uint32_t adapter) const;

    // Scheduled events
    std::priority_queue<event, std::vector<event>, later> events_;
    // Sequence number of the next event
    std::uint64_t next_sequence_ = 0;
    // Draws load failures
    boost::random::mt19937_64 random_;
};

} // namespace marjorampath::bench
