#pragma once

#include <tests/unit/fleet/mock_fleet.hpp>

#include <chrono>
#include <set>

namespace marjorampath::test
{

/// Injects faults into a fleet at random times: loss, delay and duplication of messages,
/// pauses, restarts, replacements, partitions and graceful leaves. Several may be in
/// force at a time.
class fleet_faults
{
public:
    explicit fleet_faults(mock_fleet& fleet) : fleet_(fleet) {}

    /// To be called after each event.
    void on_step()
    {
        if (fleet_.network.now() >= next_fault_)
            inject();
    }

private:
    // Starts one fault, in addition to those still in force
    void inject()
    {
        auto& network = fleet_.network;
        next_fault_ =
            network.now() + network.pick(duration(std::chrono::milliseconds(300)),
                                         duration(std::chrono::seconds(4)));
        network.faults.lost = static_cast<int>(network.pick(0, 3)) * 30;
        network.faults.duplicated = static_cast<int>(network.pick(0, 100));
        network.faults.delayed = static_cast<int>(network.pick(0, 3)) * 30;
        auto const running = fleet_.running();
        if (running.empty())
            return;
        auto const last = static_cast<std::int64_t>(running.size()) - 1;
        auto const victim = running[static_cast<std::size_t>(network.pick(0, last))];
        switch (network.pick(0, 6))
        {
        case 0:
            network.pause(victim, network.pick(duration(std::chrono::milliseconds(200)),
                                               duration(std::chrono::seconds(6))));
            break;
        case 1:
            fleet_.kill(victim);
            network.after(network.pick(duration(std::chrono::milliseconds(10)),
                                       duration(std::chrono::seconds(3))),
                          victim, [this, victim] { restart(victim); });
            break;
        case 2:
            replace(victim);
            break;
        case 3:
        case 4:
            for (std::size_t index = 0; index < fleet_.machines.size(); ++index)
                network.set_group(index, static_cast<int>(network.pick(0, 1)));
            break;
        case 5:
            leave(victim);
            break;
        default:
            for (std::size_t index = 0; index < fleet_.machines.size(); ++index)
                network.set_group(index, 0);
        }
    }

    // Ends a host for good and starts a new one on an unused machine
    void replace(std::size_t victim)
    {
        if (used_.empty())
            for (std::size_t index = 0; index < fleet_.options.hosts; ++index)
                used_.insert(index);
        auto const replacement = used_.size();
        if (replacement >= fleet_.machines.size())
            return;
        used_.insert(replacement);
        replaced_.insert(victim);
        fleet_.kill(victim);
        auto& network = fleet_.network;
        network.after(network.pick(duration(std::chrono::milliseconds(0)),
                                   duration(std::chrono::seconds(4))),
                      replacement,
                      [this, victim, replacement]
                      {
                          fleet_.start(replacement);
                          fleet_.set_listed(replacement, true);
                          fleet_.set_listed(victim, false);
                      });
    }

    void leave(std::size_t victim)
    {
        lease_actions actions;
        auto& process = *fleet_.machines[victim].process;
        process.members.leave();
        process.holder.leave(fleet_.clock(victim), actions);
        fleet_.run(victim, actions);
        fleet_.network.after(fleet_.network.pick(duration(std::chrono::milliseconds(100)),
                                                 duration(std::chrono::seconds(3))),
                             victim, [this, victim] { restart(victim); });
    }

    // Starts the process of a machine again, unless the machine was replaced meanwhile
    void restart(std::size_t victim)
    {
        if (!replaced_.contains(victim))
            fleet_.start(victim);
    }

    mock_fleet& fleet_;
    // Machines that have ever had a process; empty before the first replacement
    std::set<std::size_t> used_;
    // Machines that were replaced
    std::set<std::size_t> replaced_;
    // Time of the next fault
    duration next_fault_ = std::chrono::seconds(5);
};

} // namespace marjorampath::test
