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
    /// The engines in turn.
    round_robin,
    /// The engine with the fewest requests.
    least_loaded,
    /// The engine with the highest rendezvous weight for the adapter.
    rendezvous
};

/// Routes each request on arrival; each engine then loads on demand and evicts the
/// adapter that was used least recently and that no request uses or waits for.
class baseline_policy
{
public:
    /// A baseline for a number of engines.
    baseline_policy(routing chosen, std::uint32_t engines);

    /// A request has arrived.
    void on_arrival(world& where, std::uint32_t request);
    /// A run has ended.
    void on_end(world& where, std::uint32_t request, std::uint32_t engine, bool finished);
    /// A load has ended.
    void on_loaded(world& where, std::uint32_t engine, std::uint32_t adapter, bool ok);
    /// An unload has ended.
    void on_unloaded(world& where, std::uint32_t engine, std::uint32_t adapter);
    /// An engine has restarted empty.
    void on_restart(world& where, std::uint32_t engine);
    /// The deadline of a waiting request has passed.
    void on_deadline(world& where, std::uint32_t request);
    /// Nothing waits for the time here.
    void on_wake(world& where);

private:
    // An engine's queue and what is known of its adapters
    struct engine_queue
    {
        std::deque<std::uint32_t> waiting;
        std::set<std::uint32_t> loading;
        std::set<std::uint32_t> unloading;
        std::unordered_map<std::uint32_t, std::uint32_t> users;
        std::unordered_map<std::uint32_t, std::uint64_t> last_use;
    };

    // Chooses the engine of a request
    std::uint32_t choose(world const& where, std::uint32_t adapter);

    // Runs and loads what can be run and loaded now
    void serve(world& where, std::uint32_t engine);

    // Loads an adapter if there is, or can be made, a slot
    void want(world& where, std::uint32_t engine, std::uint32_t adapter);

    // How it routes
    routing routing_;
    // State of each engine
    std::vector<engine_queue> engines_;
    // Engine of each waiting request
    std::unordered_map<std::uint32_t, std::uint32_t> place_;
    // The next engine in turn
    std::uint32_t next_ = 0;
    // Order of uses
    std::uint64_t uses_ = 0;
};

} // namespace marjorampath::bench
