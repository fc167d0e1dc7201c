#include <tests/unit/cell/cell_harness.hpp>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <string>
#include <vector>

using namespace marjorampath;
using marjorampath::testing::cell_harness;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned engines = 4;
constexpr std::uint32_t slots = 2;

/// Does random things to a cell; the harness checks the invariants after each.
class random_schedule
{
public:
    explicit random_schedule(std::uint64_t seed)
        : random_(seed), harness_(make_options(seed), engines, slots, 3)
    {
        for (int index = 0; index < 3; ++index)
            harness_.failing.insert(cell_harness::adapter(name(draw(12))));
    }

    void step()
    {
        switch (draw(20))
        {
        case 0:
            return harness_.restart(cell_harness::engine(draw(engines)));
        case 1:
            return change_leaving();
        case 2:
            return change_reachable();
        case 3:
            return change_orders();
        case 4:
            return cancel();
        case 5:
        case 6:
        case 7:
            return harness_.finish_orders();
        case 8:
        case 9:
        case 10:
            return release();
        case 11:
        case 12:
            return harness_.advance(std::chrono::milliseconds(draw(2'000)));
        default:
            return ask();
        }
    }

    /// Lets everything end; nothing may stay queued or granted.
    void finish()
    {
        harness_.orders_allowed = true;
        harness_.tested.on_orders_allowed(true, harness_.now, harness_.out);
        harness_.apply();
        harness_.advance(2min);
        harness_.finish_orders();
        for (auto const request : asked_)
            if (harness_.tested.is_granted(request))
                harness_.release(request);
        BOOST_TEST(harness_.tested.counts().queued == 0U);
        BOOST_TEST(harness_.tested.counts().granted == 0U);
        BOOST_TEST(harness_.tested.counts().loads_in_transit == loads_in_transit());
    }

private:
    static cell_options make_options(std::uint64_t seed)
    {
        auto options = seed % 2 == 0 ? low_stall_profile() : full_batch_profile();
        options.loads_per_second = 5;
        options.loads_in_transit = 3;
        options.queue_bound = 20;
        options.report_lag = 0s;
        options.seed = seed;
        return options;
    }

    static std::string name(unsigned number)
    {
        return number == 0 ? "" : "adapter-" + std::to_string(number);
    }

    unsigned draw(unsigned count)
    {
        return boost::random::uniform_int_distribution<unsigned>(0, count - 1)(random_);
    }

    void ask()
    {
        grant_request request;
        request.team = team_id::of("team-" + std::to_string(draw(3)));
        request.adapter = cell_harness::adapter(name(draw(12)));
        request.isolated = draw(12) == 0;
        request.attempt = draw(4) == 0 ? 1 : 0;
        request.priority = static_cast<std::int32_t>(draw(3));
        request.max_tokens = 50;
        request.deadline = harness_.now + std::chrono::milliseconds(500 + draw(30'000));
        asked_.push_back(harness_.ask(request));
    }

    void release()
    {
        constexpr std::array reasons{release_reason::finished, release_reason::finished,
                                     release_reason::cancelled, release_reason::refused,
                                     release_reason::endpoint_lost};
        std::vector<request_id> granted;
        for (auto const request : asked_)
            if (harness_.tested.is_granted(request))
                granted.push_back(request);
        if (!granted.empty())
            harness_.release(granted[draw(static_cast<unsigned>(granted.size()))],
                             reasons.at(draw(reasons.size())));
    }

    void cancel()
    {
        if (asked_.empty())
            return;
        auto const request = asked_[draw(static_cast<unsigned>(asked_.size()))];
        harness_.tested.on_cancel(request, harness_.now, harness_.out);
        harness_.apply();
    }

    void change_leaving()
    {
        auto report = harness_.endpoints.at(cell_harness::engine(draw(engines))).report;
        report.leaving = !report.leaving;
        harness_.report(report);
    }

    void change_reachable()
    {
        auto report = harness_.endpoints.at(cell_harness::engine(draw(engines))).report;
        report.reachable = !report.reachable;
        harness_.report(report);
    }

    void change_orders()
    {
        harness_.orders_allowed = !harness_.orders_allowed;
        harness_.tested.on_orders_allowed(harness_.orders_allowed, harness_.now,
                                          harness_.out);
        harness_.apply();
    }

    [[nodiscard]] std::size_t loads_in_transit() const
    {
        std::size_t count = 0;
        for (auto const& [id, endpoint] : harness_.endpoints)
            count += endpoint.loading.size() + endpoint.unloading.size();
        return count;
    }

    // Source of randomness
    boost::random::mt19937_64 random_;
    // The cell and its surroundings
    cell_harness harness_;
    // Requests that were asked
    std::vector<request_id> asked_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cell_random)

BOOST_DATA_TEST_CASE(invariants_hold_under_random_events,
                     boost::unit_test::data::xrange(40), seed)
{
    BOOST_TEST_MESSAGE("seed " << seed);
    random_schedule schedule(static_cast<std::uint64_t>(seed));
    for (int step = 0; step < 1'500; ++step)
        schedule.step();
    schedule.finish();
}

BOOST_AUTO_TEST_SUITE_END()
