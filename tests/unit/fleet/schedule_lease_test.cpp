#include <tests/unit/fleet/mock_fleet.hpp>
#include <tests/unit/fleet/schedule_seeds.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(fleet)

namespace
{

/// One run of the fleet under faults chosen by a seed, checked after each event.
class lease_schedule
{
public:
    explicit lease_schedule(std::uint64_t seed, fleet_options options = {})
        : fleet_(seed, std::move(options)), numbers_(fleet_.resources.size())
    {
    }

    /// Runs the schedule; false at the first broken invariant.
    bool run(duration end)
    {
        next_fault_ = 5s;
        while (fleet_.network.step(end))
        {
            if (fleet_.network.now() >= next_fault_)
                inject();
            if (!check())
                return false;
        }
        return true;
    }

    std::string failure;
    std::uint64_t acquired = 0;

private:
    // At most one owner of each resource, and fencing numbers that rise with each owner
    bool check()
    {
        for (std::size_t resource = 0; resource < fleet_.resources.size(); ++resource)
        {
            auto const owners = fleet_.owners(resource);
            if (owners.size() > 1)
                return fail("two owners of one resource");
            if (owners.empty())
                continue;
            auto const owner = owners.front();
            auto const& holder = fleet_.places[owner].process->holder;
            auto const number = *holder.may_order(fleet_.resources[resource].resource,
                                                  fleet_.clock(owner));
            auto& last = numbers_[resource];
            if (last.number == number && last.owner == owner)
                continue;
            if (number <= last.number)
                return fail("a fencing number that did not rise");
            last = {.number = number, .owner = owner};
            ++acquired;
        }
        return true;
    }

    bool fail(char const* reason)
    {
        failure = std::string(reason) + " after " +
                  std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                     fleet_.network.now())
                                     .count()) +
                  " ms";
        return false;
    }

    // Starts one fault, beside those that still last
    void inject()
    {
        auto& network = fleet_.network;
        next_fault_ = network.now() + network.pick(duration(300ms), duration(4s));
        network.faults.lost = static_cast<int>(network.pick(0, 3)) * 30;
        network.faults.doubled = static_cast<int>(network.pick(0, 100));
        network.faults.delayed = static_cast<int>(network.pick(0, 3)) * 30;
        auto const running = fleet_.running();
        if (running.empty())
            return;
        auto const last = static_cast<std::int64_t>(running.size()) - 1;
        auto const victim = running[static_cast<std::size_t>(network.pick(0, last))];
        switch (network.pick(0, 6))
        {
        case 0:
            network.pause(victim, network.pick(duration(200ms), duration(6s)));
            break;
        case 1:
            fleet_.kill(victim);
            network.after(network.pick(duration(10ms), duration(3s)), victim,
                          [this, victim] { restart(victim); });
            break;
        case 2:
            replace(victim);
            break;
        case 3:
        case 4:
            for (std::size_t index = 0; index < fleet_.places.size(); ++index)
                network.set_group(index, static_cast<int>(network.pick(0, 1)));
            break;
        case 5:
            leave(victim);
            break;
        default:
            for (std::size_t index = 0; index < fleet_.places.size(); ++index)
                network.set_group(index, 0);
        }
    }

    // A host ends for good, at once or after it left, and a new one starts elsewhere
    void replace(std::size_t victim)
    {
        if (used_.empty())
            for (std::size_t index = 0; index < fleet_.options.hosts; ++index)
                used_.insert(index);
        auto const fresh = used_.size();
        if (fresh >= fleet_.places.size())
            return;
        used_.insert(fresh);
        replaced_.insert(victim);
        fleet_.kill(victim);
        auto& network = fleet_.network;
        network.after(network.pick(duration(0ms), duration(4s)), fresh,
                      [this, victim, fresh]
                      {
                          fleet_.start(fresh);
                          fleet_.list(fresh, true);
                          fleet_.list(victim, false);
                      });
    }

    void leave(std::size_t victim)
    {
        lease_actions actions;
        auto& process = *fleet_.places[victim].process;
        process.members.leave();
        process.holder.leave(fleet_.clock(victim), actions);
        fleet_.run(victim, actions);
        fleet_.network.after(fleet_.network.pick(duration(100ms), duration(3s)), victim,
                             [this, victim] { restart(victim); });
    }

    // Starts a process again, unless its host was replaced meanwhile
    void restart(std::size_t victim)
    {
        if (!replaced_.contains(victim))
            fleet_.start(victim);
    }

    struct last_order
    {
        // Fencing number of the latest owner
        std::uint64_t number = 0;
        // Place of the latest owner
        std::size_t owner = 0;
    };

    mock_fleet fleet_;
    std::vector<last_order> numbers_;
    std::set<std::size_t> used_;
    std::set<std::size_t> replaced_;
    duration next_fault_{0};
};

} // namespace

BOOST_AUTO_TEST_CASE(one_owner_at_a_time_under_faults)
{
    std::uint64_t acquired = 0;
    for (auto const seed : schedule_seeds(1, 1'000))
    {
        fleet_options options;
        options.leases.witnesses_per_zone = seed % 2 == 0 ? 1 : 2;
        lease_schedule schedule(seed, options);
        BOOST_TEST_REQUIRE(schedule.run(25s),
                           "seed " << seed << ": " << schedule.failure);
        acquired += schedule.acquired;
    }
    BOOST_TEST_MESSAGE("leases acquired: " << acquired);
    BOOST_TEST(acquired > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
