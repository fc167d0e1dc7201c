#include <marjorampath/key/key_home.hpp>
#include <marjorampath/key/key_time.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

host_id const home_host = host_id::of("home");
host_id const entry_host = host_id::of("entry");
resource_id const shard = resource_id::of("shard");

time_point at(duration since_start)
{
    return time_point(std::chrono::hours(1) + since_start);
}

key_begin begin_of(std::uint64_t key, std::uint64_t request, std::uint64_t content = 1)
{
    key_begin begin;
    begin.shard = shard;
    begin.key = key_id(key);
    begin.fingerprint = fingerprint_id(content);
    begin.request = request_id(request);
    begin.entry = entry_host;
    return begin;
}

/// A home without any host that could be its backup.
struct lone_home
{
    key_options options;
    key_memory memory{options};
    key_backup backup{home_host, memory};
    key_home home{home_host, shard, options, memory, backup};

    explicit lone_home(key_options chosen) : options(chosen)
    {
        key_actions actions;
        home.on_acquired(at(0s), 1'000s, 7, 0, actions);
        home.on_tick(at(1s), 1'001s, actions);
    }

    key_verdict ask(duration when, key_begin const& begin)
    {
        key_actions actions;
        home.on_begin(at(when), 7, begin, actions);
        return std::get<send_key_message<key_begin_reply>>(actions.back())
            .message.verdict;
    }

    void complete(duration when, key_begin const& begin, key_state state)
    {
        key_complete report;
        report.shard = shard;
        report.key = begin.key;
        report.request = begin.request;
        report.entry = entry_host;
        report.state = state;
        report.answer = "answer";
        key_actions actions;
        home.on_complete(at(when), 7, report, actions);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_keys)

BOOST_AUTO_TEST_CASE(a_uuid_of_version_7_carries_its_time)
{
    auto const time = key_time_of("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    BOOST_TEST_REQUIRE(time.has_value());
    BOOST_TEST(time->count() == 0x017f22e279b0);
    BOOST_TEST(!key_time_of("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
    BOOST_TEST(!key_time_of("017f22e2-79b0-7cc3-18c4-dc0c0c07398f"));
    BOOST_TEST(!key_time_of("017f22e2-79b0-7cc3-98c4-dc0c0c07398"));
    BOOST_TEST(!key_time_of("017f22e2079b0-7cc3-98c4-dc0c0c07398f"));
}

BOOST_AUTO_TEST_CASE(a_key_runs_once_and_its_answer_is_given_again)
{
    lone_home tested({.trust_first_start = true});
    auto const first = begin_of(1, 1);
    BOOST_TEST((tested.ask(2s, first) == key_verdict::run));
    BOOST_TEST((tested.ask(2s, begin_of(1, 2)) == key_verdict::in_progress));
    BOOST_TEST((tested.ask(2s, begin_of(1, 3, 2)) == key_verdict::mismatch));
    tested.complete(3s, first, key_state::answered);
    BOOST_TEST((tested.ask(4s, begin_of(1, 4)) == key_verdict::replay));
}

BOOST_AUTO_TEST_CASE(a_key_that_did_not_run_may_run_by_another_attempt_only)
{
    lone_home tested({.trust_first_start = true});
    auto const first = begin_of(1, 1);
    BOOST_TEST((tested.ask(2s, first) == key_verdict::run));
    tested.complete(3s, first, key_state::not_run);
    BOOST_TEST((tested.ask(4s, first) == key_verdict::unavailable));
    BOOST_TEST((tested.ask(4s, begin_of(1, 2)) == key_verdict::run));
}

BOOST_AUTO_TEST_CASE(a_home_with_a_gap_lets_only_younger_keys_run)
{
    lone_home tested({});
    auto begin = begin_of(1, 1);
    BOOST_TEST((tested.ask(2s, begin) == key_verdict::unknown));
    begin.key_time = 1'005s;
    BOOST_TEST((tested.ask(2s, begin) == key_verdict::unknown));
    begin.key_time = 1'006s;
    BOOST_TEST((tested.ask(2s, begin) == key_verdict::run));

    // Once every lost record would have expired, the gap is over
    BOOST_TEST((tested.ask(11min, begin_of(2, 2)) == key_verdict::run));
}

BOOST_AUTO_TEST_CASE(a_memory_is_bounded)
{
    key_memory memory({.max_records = 2, .max_answer_bytes = 10});
    key_record record;
    record.key = key_id(1);
    record.attempt = 1;
    record.state = key_state::answered;
    record.answer = "far too long an answer";
    BOOST_TEST(memory.merge(at(0s), shard, record));
    BOOST_TEST((memory.find(at(0s), shard, key_id(1))->state == key_state::unknown));
    record.key = key_id(2);
    BOOST_TEST(memory.merge(at(0s), shard, record));
    record.key = key_id(3);
    BOOST_TEST(!memory.merge(at(0s), shard, record));
    memory.forget_old(at(10min));
    BOOST_TEST(memory.size() == 0U);
    BOOST_TEST(memory.answer_bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
