#include <marjorampath/reachability/reach_monitor.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

service_id const models = service_id::of("models");
service_id const ledger = service_id::of("ledger");

time_point at(duration since_start)
{
    return time_point(1h + since_start);
}

std::vector<service_id> only(service_id service)
{
    return {service};
}

} // namespace

BOOST_AUTO_TEST_SUITE(reach_monitors)

BOOST_AUTO_TEST_CASE(failures_raise_a_doubt_and_a_probe_decides)
{
    reach_monitor monitor({});
    monitor.on_failed(models, at(0ms));
    BOOST_TEST(monitor.due_probes(at(10ms)).empty());
    monitor.on_failed(models, at(100ms));
    BOOST_TEST(monitor.is_doubtful(models, at(100ms)));
    BOOST_TEST((monitor.due_probes(at(110ms)) == only(models)));
    BOOST_TEST(monitor.due_probes(at(120ms)).empty());
    BOOST_TEST(!monitor.is_cut(models));
    BOOST_TEST(monitor.on_probed(models, false, at(400ms)));
    BOOST_TEST(monitor.is_cut(models));
    BOOST_TEST((monitor.cut_services() == only(models)));
    BOOST_TEST(!monitor.is_cut(ledger));

    // Probed again until an endpoint answers
    BOOST_TEST(monitor.due_probes(at(500ms)).empty());
    BOOST_TEST((monitor.due_probes(at(800ms)) == only(models)));
    BOOST_TEST(!monitor.on_probed(models, false, at(900ms)));
    BOOST_TEST((monitor.due_probes(at(5s)) == only(models)));
    BOOST_TEST(monitor.on_probed(models, true, at(5s)));
    BOOST_TEST(!monitor.is_doubtful(models, at(5s)));
}

// One dead endpoint of several fails again and again
BOOST_AUTO_TEST_CASE(a_service_that_answers_probes_is_not_cut_and_not_probed_all_the_time)
{
    reach_monitor monitor({});
    std::size_t probes = 0;
    for (auto now = 0ms; now < 10s; now += 50ms)
    {
        monitor.on_failed(models, at(now));
        for (auto const service : monitor.due_probes(at(now)))
        {
            ++probes;
            monitor.on_probed(service, true, at(now));
        }
        BOOST_TEST(!monitor.is_cut(models));
    }
    BOOST_TEST(probes <= 10U);
}

// Requests on connections that were open before a cut just hang
BOOST_AUTO_TEST_CASE(silence_of_all_endpoints_raises_a_doubt)
{
    reach_monitor monitor({});
    for (auto now = 0ms; now < 600ms; now += 100ms)
    {
        monitor.on_sent(models, at(now));
        BOOST_TEST(monitor.due_probes(at(now)).empty());
    }
    BOOST_TEST((monitor.due_probes(at(700ms)) == only(models)));
}

BOOST_AUTO_TEST_CASE(any_answer_ends_the_silence)
{
    reach_monitor monitor({});
    for (auto now = 0ms; now < 5s; now += 100ms)
    {
        monitor.on_sent(models, at(now));
        if (now.count() % 500 == 0)
            monitor.on_answer(models);
        BOOST_TEST(monitor.due_probes(at(now)).empty());
    }
}

// Old connections may go on while new ones are refused
BOOST_AUTO_TEST_CASE(answers_on_open_connections_do_not_end_a_cut)
{
    reach_monitor monitor({});
    monitor.on_failed(models, at(0ms));
    monitor.on_failed(models, at(1ms));
    monitor.due_probes(at(2ms));
    monitor.on_probed(models, false, at(300ms));
    monitor.on_answer(models);
    BOOST_TEST(monitor.is_cut(models));
}

BOOST_AUTO_TEST_SUITE_END()
