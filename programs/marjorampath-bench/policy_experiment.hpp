#pragma once

#include <programs/marjorampath-bench/policy_world.hpp>

#include <concepts>
#include <cstdint>
#include <vector>

namespace marjorampath::bench
{

/// A policy decides by acting on the world in answer to events.
template <class Policy>
concept placement_policy = requires(Policy policy, world& where, std::uint32_t number,
                                    bool ok)
{
    policy.on_arrival(where, number);
    policy.on_end(where, number, number, ok);
    policy.on_loaded(where, number, number, ok);
    policy.on_unloaded(where, number, number);
    policy.on_restart(where, number);
    policy.on_deadline(where, number);
    policy.on_wake(where);
};

/// Runs a trace to its end under a policy.
template <placement_policy Policy>
class experiment
{
public:
    /// Prepares a run; all arguments must outlive it.
    experiment(world& where, Policy& policy) : world_(where), policy_(policy) {}

    /// Handles all events.
    void run()
    {
        while (auto const next = world_.next())
            handle(*next);
    }

private:
    void handle(event const& happened)
    {
        switch (happened.kind)
        {
        case event_kind::arrival:
            return arrive(happened.subject);
        case event_kind::finish:
            return finish(happened);
        case event_kind::load_start:
            return world_.schedule(world_.now + world_.store.start(),
                                   event_kind::load_end, happened.subject,
                                   happened.engine, happened.generation);
        case event_kind::load_end:
            return end_load(happened);
        case event_kind::unload_end:
            if (happened.generation == world_.boots[happened.engine])
                policy_.on_unloaded(world_, happened.engine, happened.subject);
            return;
        case event_kind::restart:
            return restart(happened.engine);
        case event_kind::deadline:
            return reach_deadline(happened);
        case event_kind::measure:
            return measure(happened.subject == 0);
        case event_kind::wake:
            return policy_.on_wake(world_);
        }
    }

    void arrive(std::uint32_t request)
    {
        auto const& asked = world_.made.requests[request];
        world_.schedule(time_point(asked.at) + asked.time_limit, event_kind::deadline,
                        request);
        policy_.on_arrival(world_, request);
    }

    void finish(event const& happened)
    {
        auto& engine = world_.engines[happened.engine];
        if (happened.generation != engine.generation)
            return;
        auto const finished = engine.take_finished(world_.now);
        world_.forecast(happened.engine);
        for (auto const run : finished)
        {
            auto const request = static_cast<std::uint32_t>(run);
            world_.records[request].state = request_state::finished;
            world_.records[request].finished_at = world_.now;
            policy_.on_end(world_, request, happened.engine, true);
        }
    }

    void end_load(event const& happened)
    {
        world_.store.finish();
        if (happened.generation != world_.boots[happened.engine])
            return;
        auto const ok = !world_.draw_failure();
        if (ok)
            world_.engines[happened.engine].resident[happened.subject].loaded_at =
                world_.now;
        policy_.on_loaded(world_, happened.engine, happened.subject, ok);
    }

    void restart(std::uint32_t number)
    {
        ++world_.boots[number];
        auto const lost = world_.engines[number].restart(world_.now);
        policy_.on_restart(world_, number);
        for (auto const run : lost)
        {
            // The runs are repeated, since they are idempotent
            auto const request = static_cast<std::uint32_t>(run);
            auto& record = world_.records[request];
            record.state = request_state::waiting;
            policy_.on_end(world_, request, number, false);
            ++record.attempt;
            policy_.on_arrival(world_, request);
        }
    }

    void reach_deadline(event const& happened)
    {
        auto& record = world_.records[happened.subject];
        if (record.state == request_state::running)
        {
            auto const engine = record.engine;
            world_.cut(happened.subject);
            policy_.on_end(world_, happened.subject, engine, false);
        }
        else if (record.state == request_state::waiting)
        {
            policy_.on_deadline(world_, happened.subject);
        }
    }

    // Starts or ends the count of busy time
    void measure(bool starts)
    {
        for (auto& engine : world_.engines)
        {
            if (starts)
                engine.reset_busy(world_.now);
            engine.advance(world_.now);
            world_.busy += engine.busy();
        }
    }

    // Engines, store and requests
    world& world_;
    // What decides
    Policy& policy_;
};

} // namespace marjorampath::bench
