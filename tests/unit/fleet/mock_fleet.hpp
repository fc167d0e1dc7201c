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

/// Choices of a schedule.
struct fleet_options
{
    /// Hosts at the start; more places are kept for replacements.
    std::size_t hosts = 6;
    /// Places of hosts, replacements included.
    std::size_t places = 10;
    /// Zones.
    std::size_t zones = 3;
    /// Leased resources.
    std::size_t resources = 3;
    /// Settings of the leases; zones are filled in.
    lease_options leases;
    /// Settings of the membership.
    membership_options members;
    /// Largest difference of a clock's rate from one, in thousandths.
    int clock_drift = 10;
    /// Largest error of the wall clock that incarnations are made from.
    duration wall_error = std::chrono::seconds(20);
    /// Largest lag of the host list.
    duration list_lag = std::chrono::seconds(8);
    /// Time between two ticks of a host.
    duration tick = std::chrono::milliseconds(50);
};

/// One process of a host: the machines that this test joins.
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
    // Revision of the host table that activation and holder were told of
    std::uint64_t revision = 0;
};

/// A handful of hosts joined by a mock link, with clocks that differ and a lagging host
/// list.
class mock_fleet
{
public:
    struct place
    {
        host_id host;
        zone_id zone;
        // Difference of the clock from virtual time, and its rate
        duration offset{0};
        double rate = 1;
        // Error of the wall clock
        duration wall_error{0};
        // Number of processes so far; ticks of an earlier one end
        int generation = 0;
        // Time of the start of the process
        duration started{0};
        // Bytes sent and received so far, by estimate
        std::uint64_t bytes = 0;
        std::unique_ptr<fleet_process> process;
    };

    mock_fleet(std::uint64_t seed, fleet_options options);

    /// Starts a process in a place, with nothing remembered.
    void start(std::size_t index);
    /// Ends the process of a place.
    void kill(std::size_t index);
    /// Adds a host to the host list or drops it there.
    void list(std::size_t index, bool listed);

    /// The clock of a place.
    [[nodiscard]] time_point clock(std::size_t index) const;

    /// The places able to give orders about a resource.
    [[nodiscard]] std::vector<std::size_t> owners(std::size_t resource) const;

    /// Places with a process.
    [[nodiscard]] std::vector<std::size_t> running() const;

    fleet_options options;
    mock_network network;
    std::vector<place> places;
    std::vector<leased_resource> resources;

    // Carries out what machines decided
    void run(std::size_t index, membership_actions& actions);
    void run(std::size_t index, lease_actions& actions);

private:
    struct listing
    {
        // Time of the change
        duration at;
        // Places listed from then on
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
