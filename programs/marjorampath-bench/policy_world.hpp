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

/// What became of a request.
enum class request_state
{
    /// It waits for an engine or an adapter.
    waiting,
    /// It runs.
    running,
    /// It finished within its deadline.
    finished,
    /// Its deadline passed while it ran.
    cut,
    /// It was refused, or its deadline passed before it ran.
    not_run
};

/// What is known of one request of a trace.
struct request_record
{
    /// What became of it.
    request_state state = request_state::waiting;
    /// Time spent waiting for its adapter to arrive.
    duration stall{0};
    /// Time at which it finished.
    time_point finished_at;
    /// Engine that it runs or ran at.
    std::uint32_t engine = 0;
    /// Number of the present attempt.
    std::uint32_t attempt = 0;
};

/// What happens in an experiment.
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
    /// When it happens.
    time_point at;
    /// Order of events at the same time.
    std::uint64_t sequence = 0;
    /// What happens.
    event_kind kind = event_kind::arrival;
    /// Request or adapter.
    std::uint32_t subject = 0;
    /// Engine.
    std::uint32_t engine = 0;
    /// Generation of the engine, boot number of the order, or attempt of the request.
    std::uint64_t generation = 0;
};

/// The engines, the store and the requests of one experiment, in virtual time. Policies
/// act through it.
class world
{
public:
    /// Sets up a scenario and its trace; both must outlive the world.
    world(scenario const& chosen, trace const& made, std::uint64_t seed);

    /// Runs a waiting request at an engine that holds its adapter.
    void start(std::uint32_t request, std::uint32_t engine);

    /// Gives a request up.
    void refuse(std::uint32_t request);

    /// Orders an engine to load an adapter. The store may let the load wait.
    void load(std::uint32_t engine, std::uint32_t adapter);

    /// Orders an engine to unload an adapter, which must not be in use.
    void unload(std::uint32_t engine, std::uint32_t adapter);

    /// Asks to be woken.
    void wake_at(time_point when);

    /// Appends an event.
    void schedule(time_point at, event_kind kind, std::uint32_t subject = 0,
                  std::uint32_t engine = 0, std::uint64_t generation = 0);

    /// The next event, or nothing at the end.
    std::optional<event> next();

    /// Forecasts the next finish at an engine.
    void forecast(std::uint32_t engine);

    /// Stops a running request whose deadline has passed.
    void cut(std::uint32_t request);

    /// Whether a load fails, by the scenario's probability.
    bool draw_failure();

    /// The present time.
    time_point now{};
    /// The scenario.
    scenario const& chosen;
    /// Its trace.
    trace const& made;
    /// The engines.
    std::vector<fake_engine> engines;
    /// Restarts of each engine.
    std::vector<std::uint64_t> boots;
    /// The weight store.
    fake_store store;
    /// What became of each request.
    std::vector<request_record> records;
    /// Sum of the time that engines ran requests within the measured time.
    duration busy{0};
    /// Loads that were ordered within the measured time.
    std::uint64_t loads = 0;
    /// Unloads that were ordered within the measured time.
    std::uint64_t unloads = 0;

private:
    // Order of events
    struct later
    {
        bool operator()(event const& left, event const& right) const noexcept
        {
            return left.at != right.at ? left.at > right.at
                                       : left.sequence > right.sequence;
        }
    };

    // Whether the present time is measured
    [[nodiscard]] bool measures() const;

    // Whether any engine holds an adapter
    [[nodiscard]] bool is_resident(std::uint32_t adapter) const;

    // Events to come
    std::priority_queue<event, std::vector<event>, later> events_;
    // Number of the next event
    std::uint64_t next_sequence_ = 0;
    // Load failures
    boost::random::mt19937_64 random_;
};

} // namespace marjorampath::bench
