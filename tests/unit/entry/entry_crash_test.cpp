#include <tests/unit/entry/entry_fixture.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

using header_fields = std::vector<std::pair<char const*, char const*>>;

constexpr std::uint64_t bad = 0xbad;

header_fields const model_fields{{"X-Model", "m"},
                                 {"X-Prompt-Prefix", "1:10,bad:10,7:5"}};

std::vector<prompt_part> bad_part()
{
    return {{.id = bad, .tokens = 10}};
}

// Convicts the part by crashes of other endpoints
void convict(entry_fixture& entry)
{
    for (std::uint64_t crash = 1; crash <= 3; ++crash)
    {
        entry.context.parts.on_broken(bad_part(), crash, boot_now() - 10s + crash * 1s);
        entry.context.parts.on_crash(crash, boot_now());
    }
}

bool is_suspected(entry_fixture& entry, std::uint64_t part)
{
    auto const reports = entry.context.parts.reports(boot_now());
    return std::any_of(reports.begin(), reports.end(),
                       [&](auto const& report)
                       { return report.part == part && !report.crashes.empty(); });
}

void crash_first_endpoint(entry_fixture& entry)
{
    entry.context.parts.on_crash(crash_id(endpoint_id::of("i-0"), 1), boot_now());
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_crashes)

BOOST_AUTO_TEST_CASE(a_request_with_a_convicted_part_is_refused_as_not_run)
{
    entry_fixture entry({}, {});
    convict(entry);
    auto const answer =
        entry.send_request(http::verb::post, "/resumable/x", model_fields);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(contains(answer, "Retry-After"));
    BOOST_TEST(entry.sends() == 0U);
}

// Its last part belongs to the request alone
BOOST_AUTO_TEST_CASE(the_last_part_of_a_prompt_does_not_count)
{
    entry_fixture entry({{stream_head() + chunk(events(1, 2)) + "0\r\n\r\n"}}, {});
    convict(entry);
    auto const answer =
        entry.send_request(http::verb::post, "/resumable/x",
                           {{"X-Model", "m"}, {"X-Prompt-Prefix", "1:10,bad:10"}});
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
}

// The second attempt of a request whose part had been convicted meanwhile
BOOST_AUTO_TEST_CASE(a_part_that_is_convicted_meanwhile_ends_the_attempts)
{
    entry_fixture entry({{""}}, {{stream_head() + chunk(events(1, 2)) + "0\r\n\r\n"}});
    entry.on_check = [&] { convict(entry); };
    auto const answer =
        entry.send_request(http::verb::post, "/resumable/x", model_fields);
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    BOOST_TEST(entry.sends() == 1U);
    BOOST_TEST(entry.checked == std::vector<std::string>{"i-0"},
               boost::test_tools::per_element());
}

// An engine may crash before the head, behind it or behind some events, and its
// connection may end without an error
BOOST_AUTO_TEST_CASE(an_answer_that_broke_off_at_a_crash_makes_its_parts_suspects)
{
    std::string const unframed =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n\r\n";
    for (auto const& begun :
         {std::string(), stream_head(), stream_head() + chunk(events(1, 2)), unframed,
          unframed + events(1, 1) + "id: 2\nda"})
    {
        entry_fixture entry({{begun}}, {});
        entry.send_request(http::verb::post, "/stream/x", model_fields);
        BOOST_TEST(!is_suspected(entry, bad));
        crash_first_endpoint(entry);
        BOOST_TEST(is_suspected(entry, bad));
        BOOST_TEST(is_suspected(entry, 1));
        BOOST_TEST(!is_suspected(entry, 7));
    }
}

BOOST_AUTO_TEST_CASE(a_whole_answer_refutes_the_suspicion_of_its_parts)
{
    auto const whole = stream_head() + chunk(events(1, 2)) + "0\r\n\r\n";
    entry_fixture entry({{whole}}, {});
    entry.context.parts.on_broken(bad_part(), 5, boot_now());
    entry.context.parts.on_crash(5, boot_now());
    BOOST_TEST(is_suspected(entry, bad));
    entry.send_request(http::verb::post, "/resumable/x", model_fields);
    BOOST_TEST(!is_suspected(entry, bad));
}

// A stream whose end cannot be told from a lost connection, and the short rest of one
BOOST_AUTO_TEST_CASE(an_answer_that_may_be_cut_refutes_nothing)
{
    std::string const unframed =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n\r\n";
    auto const rest = stream_head() + chunk(events(3, 3)) + "0\r\n\r\n";
    for (auto const& [answer, after] :
         {std::pair(unframed + events(1, 2), "0"), std::pair(rest, "2")})
    {
        entry_fixture entry({{answer}}, {});
        entry.only_software_version = "";
        entry.context.parts.on_broken(bad_part(), 5, boot_now());
        entry.context.parts.on_crash(5, boot_now());
        auto fields = model_fields;
        fields.emplace_back("Last-Event-Id", after);
        BOOST_TEST(entry.send_request(http::verb::post, "/resumable/x", fields)
                       .starts_with("HTTP/1.1 200"));
        BOOST_TEST(is_suspected(entry, bad));
    }
}

BOOST_AUTO_TEST_SUITE_END()
