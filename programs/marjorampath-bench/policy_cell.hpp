#pragma once

#include <marjorampath/cell/cell.hpp>
#include <programs/marjorampath-bench/policy_world.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace marjorampath::bench
{

/// The system's policy: the production cell, run in virtual time.
class cell_policy
{
public:
    /// Creates a cell and reports all engines of a simulation to it.
    cell_policy(cell_options options, world& simulation);

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
    /// A scheduled wake-up is due.
    void on_wake(world& simulation);

    /// Time that the cell took to handle each event, in nanoseconds of wall-clock time.
    std::vector<std::uint32_t> costs;

private:
    // Runs a call to the cell and appends its duration to `costs`
    template <class Call>
    void measure_call(Call const& call);

    // Reports an engine without adapters to the cell
    void report_engine(world& simulation, std::uint32_t engine);

    // Carries out the actions of the cell and schedules its next wake-up
    void carry_out(world& simulation);

    // Identifier of an attempt of a request
    static request_id id_of(std::uint32_t request, std::uint32_t attempt);

    // Identifier of an engine
    static endpoint_id id_of_engine(std::uint32_t engine);

    // Identifier of an adapter
    static adapter_version_id id_of_adapter(std::uint32_t adapter);

    cell cell_;
    // Actions to carry out
    cell_actions actions_;
    // Earliest scheduled wake-up
    std::optional<time_point> wakeup_;
};

} // namespace marjorampath::bench
