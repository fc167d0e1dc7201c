#include <marjorampath/rate_limit/rate_limit_registry.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

struct registry_fixture
{
    // What an answer said `age` ago, which arrived or, without a rate, was requested then
    [[nodiscard]] rate_limit_notice notice(std::optional<double> rate,
                                           duration age = duration{0},
                                           std::uint64_t started_at_ms = 1) const
    {
        return {.endpoint = endpoint,
                .started_at_ms = started_at_ms,
                .rate = rate,
                .age = age};
    }

    endpoint_id endpoint = endpoint_id::of("engine");
    time_point now{1'000s};
    rate_limit_registry registry;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rate_limit_registry_tests, registry_fixture)

BOOST_AUTO_TEST_CASE(the_latest_limit_is_in_force)
{
    BOOST_TEST(!registry.limit_of(endpoint));
    BOOST_TEST(registry.apply(notice(4.0), now));
    BOOST_TEST(!registry.apply(notice(4.0), now + 1s));
    BOOST_TEST(registry.apply(notice(2.0), now + 2s));
    BOOST_TEST(registry.limit_of(endpoint).value() == 2.0);

    // An older statement that arrives late changes nothing
    BOOST_TEST(!registry.apply(notice(9.0, 1s), now + 2s));
    BOOST_TEST(registry.limit_of(endpoint).value() == 2.0);
}

BOOST_AUTO_TEST_CASE(only_an_answer_to_a_later_request_ends_a_limit)
{
    registry.apply(notice(2.0), now);
    BOOST_TEST(!registry.apply(notice(std::nullopt, 1s), now + 500ms));
    BOOST_TEST(registry.limit_of(endpoint).has_value());
    BOOST_TEST(registry.apply(notice(std::nullopt, 1s), now + 1'500ms));
    BOOST_TEST(!registry.limit_of(endpoint));

    // Another host learnt of the limit before it ended and reports it late
    BOOST_TEST(!registry.apply(notice(2.0, 2s), now + 1'600ms));
    BOOST_TEST(!registry.limit_of(endpoint));
}

BOOST_AUTO_TEST_CASE(a_limit_ends_with_the_process_that_named_it)
{
    registry.apply(notice(2.0, {}, 5), now);
    BOOST_TEST(!registry.apply(notice(1.0, {}, 4), now + 1s));
    BOOST_TEST(registry.apply(notice(7.0, {}, 6), now + 1s));
    BOOST_TEST(registry.limit_of(endpoint).value() == 7.0);
    BOOST_TEST(registry.apply(notice(std::nullopt, {}, 8), now + 1s));
    BOOST_TEST(!registry.limit_of(endpoint));
    registry.apply(notice(3.0, {}, 9), now + 2s);
    registry.forget(endpoint);
    BOOST_TEST(!registry.limit_of(endpoint));
}

BOOST_AUTO_TEST_SUITE_END()
