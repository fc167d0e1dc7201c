#include <tests/unit/fleet/fleet_faults.hpp>
#include <tests/unit/fleet/mock_fleet.hpp>
#include <tests/unit/fleet/schedule_seeds.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

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
        : fleet_(seed, std::move(options)), numbers_(fleet_.resources.size()),
          faults_(fleet_)
    {
    }

    /// Runs the schedule; false at the first broken invariant.
    bool run(duration end)
    {
        while (fleet_.network.step(end))
        {
            faults_.on_step();
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
            auto const number = *holder.fencing_number_for_order(
                fleet_.resources[resource].resource, fleet_.clock(owner));
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

    struct last_order
    {
        // Fencing number of the latest owner
        std::uint64_t number = 0;
        // Place of the latest owner
        std::size_t owner = 0;
    };

    mock_fleet fleet_;
    std::vector<last_order> numbers_;
    fleet_faults faults_;
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
