#pragma once

#include <marjorampath/cell/cell.hpp>
#include <programs/marjorampath-bench/policy_world.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace marjorampath::bench
{

/// The project's own policy: the real cell, driven in virtual time.
class cell_policy
{
public:
    /// A cell for the engines of a world.
    cell_policy(cell_options options, world& where);

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
    /// The time for which the cell asked has come.
    void on_wake(world& where);

    /// Wall-clock nanoseconds that each event took the cell.
    std::vector<std::uint32_t> costs;

private:
    // Calls the cell and notes how long it took
    template <class Call>
    void decide(Call const& call);

    // Reports an engine as listed and empty
    void report(world& where, std::uint32_t engine);

    // Carries out what the cell decided
    void carry_out(world& where);

    // Identifier of an attempt of a request
    static request_id id_of(std::uint32_t request, std::uint32_t attempt);

    // Identifier of an engine
    static endpoint_id id_of_engine(std::uint32_t engine);

    // Identifier of an adapter
    static adapter_version_id id_of_adapter(std::uint32_t adapter);

    // What decides
    cell cell_;
    // Decisions to carry out
    cell_actions actions_;
    // Latest wake-up that was asked for
    std::optional<time_point> wakeup_;
};

} // namespace marjorampath::bench
