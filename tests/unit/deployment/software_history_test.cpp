#include <marjorampath/deployment/software_history.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

constexpr duration max_stream_age = 30s;
service_id const models = service_id::of("models");

struct history_fixture
{
    // Changes an engine; it started `age` before the start of the test
    void change(std::uint32_t index, std::string const& version,
                endpoint_change kind = endpoint_change::appeared,
                std::chrono::milliseconds age = 1min)
    {
        auto const started = wall_milliseconds(1'000'000'000) - age;
        history.on_endpoint(
            {.change = kind,
             .endpoint = {.id = endpoint_id::of(fmt::format("engine-{}", index)),
                          .started_at_ms = static_cast<std::uint64_t>(started.count()),
                          .software_version = version,
                          .service = models}},
            now);
    }

    [[nodiscard]] std::optional<std::string> only_version() const
    {
        auto const since = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - time_point{1'000s});
        return history.only_version(models, now,
                                    wall_milliseconds(1'000'000'000) + since);
    }

    time_point now{1'000s};
    software_history history{max_stream_age};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(software_histories, history_fixture)

BOOST_AUTO_TEST_CASE(one_version_that_has_served_long_began_every_stream)
{
    BOOST_TEST(!only_version());
    change(0, "v1");
    change(1, "v1");
    BOOST_TEST(only_version().value() == "v1");
    now += 1min;
    change(0, "v1", endpoint_change::updated);
    BOOST_TEST(only_version().value() == "v1");
}

BOOST_AUTO_TEST_CASE(two_versions_that_serve_side_by_side_may_both_have_begun_a_stream)
{
    change(0, "v1");
    change(1, "v2");
    now += 2min;
    BOOST_TEST(!only_version());
}

BOOST_AUTO_TEST_CASE(a_version_counts_for_as_long_as_its_streams_can_be_continued)
{
    change(0, "v1");
    change(1, "v2");
    now += 1min;
    change(0, "v1", endpoint_change::draining);
    change(0, "v1", endpoint_change::gone);
    now += 29s;
    BOOST_TEST(!only_version());
    now += 2s;
    BOOST_TEST(only_version().value() == "v2");

    // An engine starts again under its name with another version
    change(1, "v3", endpoint_change::restarted);
    BOOST_TEST(!only_version());
    now += 31s;
    BOOST_TEST(only_version().value() == "v3");
}

// An engine may have come, begun streams and left while the host stood still
BOOST_AUTO_TEST_CASE(nothing_is_certain_behind_a_time_without_listings)
{
    change(0, "v1");
    history.on_listing(now);
    now += 2s;
    history.on_listing(now);
    BOOST_TEST(only_version().value() == "v1");
    BOOST_TEST(!history.another_version_ended(models, "v1", now - 2s));
    now += 5s;
    history.on_listing(now);
    BOOST_TEST(!only_version());
    BOOST_TEST(history.another_version_ended(models, "v1", now - 2s));
    BOOST_TEST(!history.another_version_ended(models, "v1", now + 1s));
    for (int second = 0; second < 31; ++second)
    {
        now += 1s;
        history.on_listing(now);
    }
    BOOST_TEST(only_version().value() == "v1");
}

// A host that has just started does not know which engines have left
BOOST_AUTO_TEST_CASE(a_new_host_relies_on_the_starts_of_the_endpoints)
{
    change(0, "v2");
    change(1, "v2", endpoint_change::appeared, 5s);
    BOOST_TEST(!only_version());
    now += 26s;
    BOOST_TEST(only_version().value() == "v2");
}

BOOST_AUTO_TEST_SUITE_END()
