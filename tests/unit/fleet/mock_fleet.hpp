#pragma once

#include <marjorampath/lease/lease_holder.hpp>
#include <marjorampath/lease/lease_witness.hpp>
#include <marjorampath/membership/membership.hpp>
#include <tests/unit/fleet/mock_network.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjorampath::test
{

/// Parameters of a simulated fleet.
struct fleet_options
{
    /// Number of hosts at the start.
    std::size_t hosts = 6;
    /// Number of machines, those for replacement hosts included.
    std::size_t max_hosts = 10;
    /// Number of zones.
    std::size_t zones = 3;
    /// Number of leased resources.
    std::size_t resources = 3;
    /// Settings of the leases; `mock_fleet` fills in the zones.
    lease_options leases;
    /// Settings of the membership.
    membership_options members;
    /// Largest deviation of a clock's rate from one, in thousandths.
    int clock_drift = 10;
    /// Largest error of the wall clock that incarnations are derived from.
    duration wall_error = std::chrono::seconds(20);
    /// Largest age of the host list as a host reads it.
    duration list_lag = std::chrono::seconds(8);
    /// Interval of the ticks of a host.
    duration tick = std::chrono::milliseconds(50);
};

/// One process of a host: the state machines under test.
struct fleet_process
{
    using random_engine = boost::random::mt19937;

    fleet_process(host_record self, fleet_options const& options, std::uint32_t seed)
        : members(self, options.members, random_engine(seed)), activation(options.leases),
          witness(self.host, options.leases), holder(self.host, options.leases)
    {
    }

    membership<random_engine> members;
    witness_activation activation;
    lease_witness witness;
    lease_holder holder;
    // Revision of the host table that `activation` and `holder` were last updated with
    std::uint64_t revision = 0;
};

/// Simulated hosts connected by a mock network, with clocks that differ and a host list
/// that lags behind.
class mock_fleet
{
public:
    /// A simulated machine, which runs the processes of one host.
    struct machine
    {
        host_id host;
        zone_id zone;
        // Offset of the clock from virtual time
        duration offset{0};
        // Rate of the clock relative to virtual time
        double rate = 1;
        // Error of the wall clock
        duration wall_error{0};
        // Number of starts and kills so far; events of an earlier generation are ignored
        int generation = 0;
        // Virtual time of the start of the process
        duration started{0};
        // Estimated number of bytes sent and received so far
        std::uint64_t bytes = 0;
        std::unique_ptr<fleet_process> process;
    };

    mock_fleet(std::uint64_t seed, fleet_options options);

    /// Starts a new process on a machine, without any state of an earlier one.
    void start(std::size_t index);
    /// Ends the process of a machine.
    void kill(std::size_t index);
    /// Adds a host to the host list or removes it from the list.
    void set_listed(std::size_t index, bool listed);

    /// The monotonic clock of a machine.
    [[nodiscard]] time_point clock(std::size_t index) const;

    /// The machines whose host may give orders about a resource.
    [[nodiscard]] std::vector<std::size_t> owners(std::size_t resource) const;

    /// The machines with a process.
    [[nodiscard]] std::vector<std::size_t> running() const;

    fleet_options options;
    mock_network network;
    std::vector<machine> machines;
    std::vector<leased_resource> resources;

    // Carries out the actions that the state machines requested
    void run(std::size_t index, membership_actions& actions);
    void run(std::size_t index, lease_actions& actions);

private:
    struct listing
    {
        // Time of the change
        duration at;
        // Machines listed from then on
        std::vector<std::size_t> listed;
    };

    void tick(std::size_t index, int generation);
    void read_list(std::size_t index, int generation);
    void refresh(std::size_t index);
    [[nodiscard]] std::size_t index_of(host_id host) const;
    [[nodiscard]] wall_milliseconds wall(std::size_t index, bool skewed) const;
    template <class Message, class Deliver>
    void send(std::size_t from, host_id to, Message const& message, Deliver deliver);

    // The host list over time
    std::vector<listing> listings_;
};

} // namespace marjorampath::test
