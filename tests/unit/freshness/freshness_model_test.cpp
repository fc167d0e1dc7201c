#include <tests/unit/freshness/freshness_model.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

// Whether a way to take the proof breaks the bound in one of some histories
bool breaks_bound(freshness_model::defect used)
{
    constexpr std::uint32_t histories = 2'000;
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
        if (!freshness_model({.seed = seed, .used = used}).run().empty())
            return true;
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(freshness_histories)

// A host that is cut off, frozen or restarted, or whose messages are late, or that reads
// a restored store, went on with a key that was revoked long before
BOOST_AUTO_TEST_CASE(no_key_runs_later_than_the_bound)
{
    constexpr std::uint32_t histories = 10'000;
    std::size_t accepted = 0;
    std::size_t refused = 0;
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        freshness_model model({.seed = seed});
        for (auto const& breach : model.run())
            BOOST_ERROR(breach);
        accepted += model.accepted();
        refused += model.refused();
    }
    BOOST_TEST_MESSAGE("accepted " << accepted << ", unconfirmed " << refused);
    // The faults strike, and what they leave is served
    BOOST_TEST(refused > histories);
    BOOST_TEST(accepted > refused);
}

BOOST_AUTO_TEST_CASE(a_calm_fleet_refuses_nothing)
{
    for (std::uint32_t seed = 1; seed <= 500; ++seed)
    {
        freshness_model model({.seed = seed, .faults = false});
        BOOST_TEST(model.run().empty(), "seed " << seed);
        BOOST_TEST(model.refused() == 0U, "seed " << seed);
    }
}

// The model finds the two mistakes that it is there for
BOOST_AUTO_TEST_CASE(the_time_of_an_answer_and_plain_ages_break_the_bound)
{
    BOOST_TEST(breaks_bound(freshness_model::defect::time_of_answer));
    BOOST_TEST(breaks_bound(freshness_model::defect::plain_age));
}

BOOST_AUTO_TEST_SUITE_END()
