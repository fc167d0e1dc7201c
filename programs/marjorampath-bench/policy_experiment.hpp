#pragma once

#include <programs/marjorampath-bench/policy_world.hpp>

#include <concepts>
#include <cstdint>
#include <vector>

namespace marjorampath::bench
{

/// A policy handles the events of a simulation and acts on it.
template <class Policy>
concept placement_policy = requires(Policy policy, world& simulation,
                                    std::uint32_t number, bool ok)
{
    policy.on_arrival(simulation, number);
    policy.on_end(simulation, number, number, ok);
    policy.on_loaded(simulation, number, number, ok);
    policy.on_unloaded(simulation, number, number);
    policy.on_restart(simulation, number);
    policy.on_deadline(simulation, number);
    policy.on_wake(simulation);
};

/// Runs a trace to its end under a policy.
template <placement_policy Policy>
class experiment
{
public:
    /// The arguments must outlive the experiment.
    experiment(world& simulation, Policy& policy)
        : simulation_(simulation), policy_(policy)
    {
    }

    /// Processes all events in the order of time.
    void run()
    {
        while (auto const next = simulation_.next())
            handle(*next);
    }

private:
    void handle(event const& current)
    {
        switch (current.kind)
        {
        case event_kind::arrival:
            return handle_arrival(current.subject);
        case event_kind::finish:
            return finish(current);
        case event_kind::load_start:
            return simulation_.schedule(simulation_.now + simulation_.store.start(),
                                        event_kind::load_end, current.subject,
                                        current.engine, current.generation);
        case event_kind::load_end:
            return end_load(current);
        case event_kind::unload_end:
            if (current.generation == simulation_.boots[current.engine])
                policy_.on_unloaded(simulation_, current.engine, current.subject);
            return;
        case event_kind::restart:
            return restart(current.engine);
        case event_kind::deadline:
            return reach_deadline(current);
        case event_kind::measure:
            return measure(current.subject == 0);
        case event_kind::wake:
            return policy_.on_wake(simulation_);
        }
    }

    void handle_arrival(std::uint32_t request)
    {
        auto const& details = simulation_.workload.requests[request];
        simulation_.schedule(time_point(details.at) + details.time_limit,
                             event_kind::deadline, request);
        policy_.on_arrival(simulation_, request);
    }

    void finish(event const& current)
    {
        auto& engine = simulation_.engines[current.engine];
        if (current.generation != engine.generation)
            return;
        auto const finished = engine.take_finished(simulation_.now);
        simulation_.schedule_next_finish(current.engine);
        for (auto const run : finished)
        {
            auto const request = static_cast<std::uint32_t>(run);
            simulation_.records[request].state = request_state::finished;
            simulation_.records[request].finished_at = simulation_.now;
            policy_.on_end(simulation_, request, current.engine, true);
        }
    }

    void end_load(event const& current)
    {
        simulation_.store.finish();
        if (current.generation != simulation_.boots[current.engine])
            return;
        auto const ok = !simulation_.draw_load_failure();
        if (ok)
            simulation_.engines[current.engine].resident[current.subject].loaded_at =
                simulation_.now;
        policy_.on_loaded(simulation_, current.engine, current.subject, ok);
    }

    void restart(std::uint32_t number)
    {
        ++simulation_.boots[number];
        auto const lost = simulation_.engines[number].restart(simulation_.now);
        policy_.on_restart(simulation_, number);
        for (auto const run : lost)
        {
            // Lost runs are repeated: all requests of a trace are idempotent
            auto const request = static_cast<std::uint32_t>(run);
            auto& record = simulation_.records[request];
            record.state = request_state::waiting;
            policy_.on_end(simulation_, request, number, false);
            ++record.attempt;
            policy_.on_arrival(simulation_, request);
        }
    }

    void reach_deadline(event const& current)
    {
        auto& record = simulation_.records[current.subject];
        if (record.state == request_state::running)
        {
            auto const engine = record.engine;
            simulation_.cut(current.subject);
            policy_.on_end(simulation_, current.subject, engine, false);
        }
        else if (record.state == request_state::waiting)
        {
            policy_.on_deadline(simulation_, current.subject);
        }
    }

    // Starts or ends the measurement of the busy time of the engines
    void measure(bool starts)
    {
        for (auto& engine : simulation_.engines)
        {
            if (starts)
                engine.reset_busy(simulation_.now);
            engine.advance(simulation_.now);
            simulation_.busy += engine.busy();
        }
    }

    world& simulation_;
    Policy& policy_;
};

} // namespace marjorampath::bench
