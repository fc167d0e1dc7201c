#include <marjorampath/lease/grant_registry.hpp>
#include <marjorampath/lease/takeover_guard.hpp>
#include <tests/unit/fleet/mock_network.hpp>
#include <tests/unit/fleet/schedule_seeds.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <set>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t entries = 4;
constexpr duration deadline = 3s;

/// Owners that follow each other give grants to entry hosts over a bad link; the latest
/// one asks for what is held.
class takeover_schedule
{
public:
    explicit takeover_schedule(std::uint64_t seed) : network_(seed, entries + 1)
    {
        network_.faults = {.lost = 150, .doubled = 100, .delayed = 150};
        for (std::size_t index = 0; index < entries; ++index)
            registries_.emplace_back(host_of(index));
        take_over();
        step();
    }

    bool run(duration end)
    {
        while (network_.step(end) && !broken)
        {
        }
        return !broken;
    }

    bool broken = false;
    std::uint64_t allowed = 0;

private:
    static host_id host_of(std::size_t index)
    {
        return host_id::of("entry-" + std::to_string(index));
    }

    [[nodiscard]] time_point now() const
    {
        return time_point(1h + network_.now());
    }

    // The next owner; grants of the earlier one may still be on their way
    void take_over()
    {
        ++number_;
        known_.clear();
        guard_.emplace(cell_, host_id::of("owner"), number_,
                       takeover_options{.longest_deadline = deadline}, now());
        std::vector<known_host> hosts(entries);
        for (std::size_t index = 0; index < entries; ++index)
            hosts[index].record.host = host_of(index);
        guard_->set_hosts(hosts);
    }

    void step()
    {
        if (network_.chance(8))
            take_over();
        for (auto const& host : guard_->take_hosts_to_query(now()))
            ask(host);
        auto const entry = static_cast<std::size_t>(network_.pick(0, entries - 1));
        if (network_.chance(300))
            grant(entry);
        if (network_.chance(30))
            network_.set_group(entry, static_cast<int>(network_.pick(0, 1)));
        if (guard_->may_evict(now()))
            check();
        network_.after(20ms, entries, [this] { step(); });
    }

    void grant(std::size_t entry)
    {
        auto const request = request_id(++requests_);
        known_.insert(request);
        held_grant given;
        given.request = request;
        given.remaining = deadline / 2;
        network_.send(entries, entry,
                      [this, entry, given, number = number_]
                      {
                          if (!registries_[entry].on_grant(now(), cell_, number, given))
                              return;
                          running_[given.request] = network_.now() + given.remaining;
                          network_.after(given.remaining, entry,
                                         [this, entry, request = given.request]
                                         {
                                             registries_[entry].on_end(request);
                                             running_.erase(request);
                                         });
                      });
    }

    void ask(host_id host)
    {
        for (std::size_t entry = 0; entry < entries; ++entry)
        {
            if (host_of(entry) != host)
                continue;
            network_.send(entries, entry,
                          [this, entry, recall = guard_->recall()]
                          {
                              auto const list =
                                  registries_[entry].on_recall(now(), recall, 1);
                              if (list)
                                  network_.send(entry, entries,
                                                [this, list = *list] { take(list); });
                          });
        }
    }

    void take(grant_list const& list)
    {
        if (!guard_->on_grant_list(list))
            return;
        for (auto const& held : list.grants)
            known_.insert(held.request);
    }

    // An owner that may evict knows of all that runs
    void check()
    {
        ++allowed;
        for (auto const& [request, end] : running_)
            broken = broken || !known_.contains(request);
    }

    mock_network network_;
    resource_id const cell_ = resource_id::of("cell");
    std::vector<grant_registry> registries_;
    std::optional<takeover_guard> guard_;
    std::uint64_t number_ = 0;
    std::uint64_t requests_ = 0;
    std::set<request_id> known_;
    std::map<request_id, duration> running_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(an_owner_that_may_evict_knows_all_that_runs)
{
    std::uint64_t allowed = 0;
    for (auto const seed : schedule_seeds(1, 500))
    {
        takeover_schedule schedule(seed);
        BOOST_TEST_REQUIRE(schedule.run(30s), "seed " << seed);
        allowed += schedule.allowed;
    }
    BOOST_TEST(allowed > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
