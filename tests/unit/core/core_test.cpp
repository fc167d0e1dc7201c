#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/rendezvous.hpp>

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace marjorampath;

BOOST_AUTO_TEST_SUITE(core)

BOOST_AUTO_TEST_CASE(every_error_kind_has_its_own_answer)
{
    std::set<std::string_view> names;
    for (auto const& row : all_error_answers())
    {
        BOOST_TEST((answer_of(row.kind).name == row.name));
        BOOST_TEST(names.insert(row.name).second);
    }
}

BOOST_AUTO_TEST_CASE(an_error_code_converts_back_to_its_kind)
{
    std::error_code const code = error_kind::queue_full;
    BOOST_TEST((kind_of(code) == error_kind::queue_full));
    BOOST_TEST(
        (kind_of(std::make_error_code(std::errc::io_error)) == error_kind::internal));
}

BOOST_AUTO_TEST_CASE(outcomes_have_names_that_parse)
{
    for (auto value : {outcome::not_run, outcome::ran, outcome::unknown})
        BOOST_TEST((parse_outcome(to_string(value)) == value));
    BOOST_TEST(!parse_outcome("maybe"));
}

BOOST_AUTO_TEST_CASE(rendezvous_reassigns_only_the_subjects_of_a_lost_candidate)
{
    std::vector<host_id> hosts;
    for (int index = 0; index < 9; ++index)
        hosts.push_back(host_id::of("host-" + std::to_string(index)));
    auto fewer = hosts;
    auto const lost = fewer.back();
    fewer.pop_back();
    for (int index = 0; index < 1'000; ++index)
    {
        auto const subject = resource_id::of("resource-" + std::to_string(index));
        auto const before = rendezvous_choice<resource_tag, host_tag>(subject, hosts);
        auto const after = rendezvous_choice<resource_tag, host_tag>(subject, fewer);
        BOOST_TEST((before == lost || before == after));
    }
}

BOOST_AUTO_TEST_SUITE_END()
