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

std::uint32_t baseline_policy::choose(world const& where, std::uint32_t adapter)
{
    auto const count = static_cast<std::uint32_t>(engines_.size());
    if (routing_ == routing::round_robin)
        return next_++ % count;
    std::uint32_t best = 0;
    std::uint64_t best_value = 0;
    for (std::uint32_t engine = 0; engine < count; ++engine)
    {
        auto const load =
            where.engines[engine].running() + engines_[engine].waiting.size();
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

void baseline_policy::on_arrival(world& where, std::uint32_t request)
{
    auto const adapter = where.made.requests[request].adapter;
    auto const engine = choose(where, adapter);
    place_[request] = engine;
    auto& queue = engines_[engine];
    queue.waiting.push_back(request);
    ++queue.users[adapter];
    queue.last_use[adapter] = ++uses_;
    serve(where, engine);
}

void baseline_policy::serve(world& where, std::uint32_t engine)
{
    auto& queue = engines_[engine];
    auto& target = where.engines[engine];
    std::deque<std::uint32_t> still;
    for (auto const request : queue.waiting)
    {
        auto const adapter = where.made.requests[request].adapter;
        auto const held =
            target.resident.contains(adapter) && !queue.unloading.contains(adapter);
        if (held && target.running() < where.chosen.concurrency)
        {
            place_.erase(request);
            where.start(request, engine);
            continue;
        }
        if (!held)
            want(where, engine, adapter);
        still.push_back(request);
    }
    queue.waiting = std::move(still);
}

void baseline_policy::want(world& where, std::uint32_t engine, std::uint32_t adapter)
{
    auto& queue = engines_[engine];
    auto& target = where.engines[engine];
    if (queue.loading.contains(adapter) || queue.unloading.contains(adapter))
        return;
    auto const taken =
        target.resident.size() + queue.loading.size() + queue.unloading.size();
    if (taken < where.chosen.slots)
    {
        queue.loading.insert(adapter);
        where.load(engine, adapter);
        return;
    }

    // One slot is freed at a time for what waits
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
    where.unload(engine, victim);
}

void baseline_policy::on_end(world& where, std::uint32_t request, std::uint32_t engine,
                             bool finished)
{
    auto const adapter = where.made.requests[request].adapter;
    static_cast<void>(finished);
    auto& users = engines_[engine].users[adapter];
    if (users > 0)
        --users;
    serve(where, engine);
}

void baseline_policy::on_loaded(world& where, std::uint32_t engine, std::uint32_t adapter,
                                bool ok)
{
    // A load that has failed is tried again as long as a request waits for it
    static_cast<void>(ok);
    engines_[engine].loading.erase(adapter);
    serve(where, engine);
}

void baseline_policy::on_unloaded(world& where, std::uint32_t engine,
                                  std::uint32_t adapter)
{
    engines_[engine].unloading.erase(adapter);
    serve(where, engine);
}

void baseline_policy::on_restart(world& where, std::uint32_t engine)
{
    auto& queue = engines_[engine];
    queue.loading.clear();
    queue.unloading.clear();
    queue.users.clear();
    for (auto const request : queue.waiting)
        ++queue.users[where.made.requests[request].adapter];
    serve(where, engine);
}

void baseline_policy::on_deadline(world& where, std::uint32_t request)
{
    auto const engine = place_.at(request);
    place_.erase(request);
    auto& queue = engines_[engine];
    std::erase(queue.waiting, request);
    --queue.users[where.made.requests[request].adapter];
    where.refuse(request);
    serve(where, engine);
}

void baseline_policy::on_wake(world& where)
{
    static_cast<void>(where);
}

} // namespace marjorampath::bench
