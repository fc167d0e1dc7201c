#pragma once

#include <programs/marjorampath-bench/policy_world.hpp>

#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

namespace marjorampath::bench
{

/// How a baseline chooses the engine of a request.
enum class routing
{
    /// Takes the engines in turn.
    round_robin,
    /// Picks the engine with the fewest running and waiting requests.
    least_loaded,
    /// Picks the engine with the highest rendezvous hash for the adapter.
    rendezvous
};

/// Routes each request on arrival. Each engine then loads on demand and evicts the least
/// recently used adapter that no request uses or waits for.
class baseline_policy
{
public:
    /// A baseline for a number of engines.
    baseline_policy(routing chosen, std::uint32_t engines);

    /// A request has arrived.
    void on_arrival(world& simulation, std::uint32_t request);
    /// A run has ended.
    void on_end(world& simulation, std::uint32_t request, std::uint32_t engine,
                bool finished);
    /// A load has ended.
    void on_loaded(world& simulation, std::uint32_t engine, std::uint32_t adapter,
                   bool ok);
    /// An unload has ended.
    void on_unloaded(world& simulation, std::uint32_t engine, std::uint32_t adapter);
    /// An engine has restarted empty.
    void on_restart(world& simulation, std::uint32_t engine);
    /// The deadline of a waiting request has passed.
    void on_deadline(world& simulation, std::uint32_t request);
    /// Does nothing: baselines set no timers.
    void on_wake(world& simulation);

private:
    // Queue of an engine and the state of its adapters. `users` counts the waiting and
    // running requests of an adapter, `last_use` holds the value of `uses_` at its last
    // use.
    struct engine_queue
    {
        std::deque<std::uint32_t> waiting;
        std::set<std::uint32_t> loading;
        std::set<std::uint32_t> unloading;
        std::unordered_map<std::uint32_t, std::uint32_t> users;
        std::unordered_map<std::uint32_t, std::uint64_t> last_use;
    };

    // Chooses the engine of a request for an adapter
    std::uint32_t choose(world const& simulation, std::uint32_t adapter);

    // Starts the waiting requests that can run, and loads adapters for the others
    void serve(world& simulation, std::uint32_t engine);

    // Loads an adapter if a slot is free, otherwise unloads an unused adapter if there is
    // one
    void ensure_loaded(world& simulation, std::uint32_t engine, std::uint32_t adapter);

    routing routing_;
    // State of each engine
    std::vector<engine_queue> engines_;
    // Engine of each waiting request
    std::unordered_map<std::uint32_t, std::uint32_t> assigned_engine_;
    // Next engine of round-robin routing
    std::uint32_t next_ = 0;
    // Counter of arrivals, which orders uses in time
    std::uint64_t uses_ = 0;
};

} // namespace marjorampath::bench
