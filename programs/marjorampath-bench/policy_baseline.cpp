#include <marjorampath/core/hash.hpp>
#include <programs/marjorampath-bench/policy_baseline.hpp>

#include <algorithm>
#include <limits>

namespace marjorampath::bench
{

baseline_policy::baseline_policy(routing chosen, std::uint32_t engines)
    : routing_(chosen), engines_(engines)
{
}

std::uint32_t baseline_policy::choose(world const& simulation, std::uint32_t adapter)
{
    auto const count = static_cast<std::uint32_t>(engines_.size());
    if (routing_ == routing::round_robin)
        return next_++ % count;
    std::uint32_t best = 0;
    std::uint64_t best_value = 0;
    for (std::uint32_t engine = 0; engine < count; ++engine)
    {
        auto const load =
            simulation.engines[engine].running() + engines_[engine].waiting.size();
        auto const value = routing_ == routing::least_loaded
                               ? std::numeric_limits<std::uint64_t>::max() - load
                               : hash_combine(adapter, engine);
        if (value > best_value)
        {
            best = engine;
            best_value = value;
        }
    }
    return best;
}

void baseline_policy::on_arrival(world& simulation, std::uint32_t request)
{
    auto const adapter = simulation.workload.requests[request].adapter;
    auto const engine = choose(simulation, adapter);
    assigned_engine_[request] = engine;
    auto& queue = engines_[engine];
    queue.waiting.push_back(request);
    ++queue.users[adapter];
    queue.last_use[adapter] = ++uses_;
    serve(simulation, engine);
}

void baseline_policy::serve(world& simulation, std::uint32_t engine)
{
    auto& queue = engines_[engine];
    auto& target = simulation.engines[engine];
    std::deque<std::uint32_t> remaining;
    for (auto const request : queue.waiting)
    {
        auto const adapter = simulation.workload.requests[request].adapter;
        auto const is_resident =
            target.resident.contains(adapter) && !queue.unloading.contains(adapter);
        if (is_resident && target.running() < simulation.setup.concurrency)
        {
            assigned_engine_.erase(request);
            simulation.start(request, engine);
            continue;
        }
        if (!is_resident)
            ensure_loaded(simulation, engine, adapter);
        remaining.push_back(request);
    }
    queue.waiting = std::move(remaining);
}

void baseline_policy::ensure_loaded(world& simulation, std::uint32_t engine,
                                    std::uint32_t adapter)
{
    auto& queue = engines_[engine];
    auto& target = simulation.engines[engine];
    if (queue.loading.contains(adapter) || queue.unloading.contains(adapter))
        return;
    auto const used_slots =
        target.resident.size() + queue.loading.size() + queue.unloading.size();
    if (used_slots < simulation.setup.slots)
    {
        queue.loading.insert(adapter);
        simulation.load(engine, adapter);
        return;
    }

    // Free one slot at a time
    if (!queue.unloading.empty())
        return;
    std::uint32_t victim = 0;
    auto oldest = std::numeric_limits<std::uint64_t>::max();
    for (auto const& [held, state] : target.resident)
    {
        if (queue.users[held] > 0 || queue.last_use[held] >= oldest)
            continue;
        victim = held;
        oldest = queue.last_use[held];
    }
    if (oldest == std::numeric_limits<std::uint64_t>::max())
        return;
    queue.unloading.insert(victim);
    simulation.unload(engine, victim);
}

void baseline_policy::on_end(world& simulation, std::uint32_t request,
                             std::uint32_t engine, bool finished)
{
    auto const adapter = simulation.workload.requests[request].adapter;
    static_cast<void>(finished);
    auto& users = engines_[engine].users[adapter];
    if (users > 0)
        --users;
    serve(simulation, engine);
}

void baseline_policy::on_loaded(world& simulation, std::uint32_t engine,
                                std::uint32_t adapter, bool ok)
{
    // A failed load is retried as long as a request waits for the adapter
    static_cast<void>(ok);
    engines_[engine].loading.erase(adapter);
    serve(simulation, engine);
}

void baseline_policy::on_unloaded(world& simulation, std::uint32_t engine,
                                  std::uint32_t adapter)
{
    engines_[engine].unloading.erase(adapter);
    serve(simulation, engine);
}

void baseline_policy::on_restart(world& simulation, std::uint32_t engine)
{
    auto& queue = engines_[engine];
    queue.loading.clear();
    queue.unloading.clear();
    queue.users.clear();
    for (auto const request : queue.waiting)
        ++queue.users[simulation.workload.requests[request].adapter];
    serve(simulation, engine);
}

void baseline_policy::on_deadline(world& simulation, std::uint32_t request)
{
    auto const engine = assigned_engine_.at(request);
    assigned_engine_.erase(request);
    auto& queue = engines_[engine];
    std::erase(queue.waiting, request);
    --queue.users[simulation.workload.requests[request].adapter];
    simulation.refuse(request);
    serve(simulation, engine);
}

void baseline_policy::on_wake(world& simulation)
{
    static_cast<void>(simulation);
}

} // namespace marjorampath::bench
