#include <marjorampath/organisation/access_decision.hpp>
#include <marjorampath/organisation/organisation_directory.hpp>
#include <marjorampath/organisation/request_priority.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace marjorampath;

namespace
{

organisation make(std::string name, std::vector<std::string> keys)
{
    return {.name = std::move(name), .keys = std::move(keys)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(organisations)

// Guards against callers that run under another organisation's name
BOOST_AUTO_TEST_CASE(a_key_finds_its_organisation_alone)
{
    organisation_directory const directory(
        {make("a", {"key-1", "key-2"}), make("b", {"key-3"}), make("none", {})}, 7);
    BOOST_TEST(directory.find("key-1")->name == "a");
    BOOST_TEST(directory.find("key-2")->name == "a");
    BOOST_TEST(directory.find("key-3")->name == "b");
    for (auto const* key : {"", "key-", "key-4", "key-11", "KEY-1", " key-1"})
        BOOST_TEST(!directory.find(key), key);
    BOOST_TEST(directory.problems().empty());
}

// A key that two organisations have proves neither, and must not drop their other keys
BOOST_AUTO_TEST_CASE(a_shared_key_opens_no_door)
{
    organisation_directory const directory({make("a", {"shared", "own-a", "own-a"}),
                                            make("b", {"own-b", "shared"}),
                                            make("c", {"shared"})},
                                           1);
    BOOST_TEST(!directory.find("shared"));
    BOOST_TEST(directory.find("own-a")->name == "a");
    BOOST_TEST(directory.find("own-b")->name == "b");
    BOOST_REQUIRE_EQUAL(directory.problems().size(), 2U);
    BOOST_TEST(directory.problems()[0].organisation == "b");
    BOOST_TEST(directory.problems()[0].key_digest == key_digest("shared"));
}

// The second description of a name could have other limits than the first
BOOST_AUTO_TEST_CASE(the_second_organisation_of_a_name_is_left_out)
{
    organisation_directory const directory({make("a", {"1"}), make("a", {"2"})}, 1);
    BOOST_TEST(directory.find("1"));
    BOOST_TEST(!directory.find("2"));
    BOOST_REQUIRE_EQUAL(directory.problems().size(), 1U);
    BOOST_TEST(directory.problems()[0].key_digest == 0U);
}

BOOST_AUTO_TEST_CASE(keys_are_compared_as_a_whole)
{
    BOOST_TEST(equal_keys("abc", "abc"));
    BOOST_TEST(!equal_keys("abc", "abd"));
    BOOST_TEST(!equal_keys("abc", "ab"));
    BOOST_TEST(!equal_keys("xbc", "abc"));
    BOOST_TEST(equal_keys("", ""));
}

// Guards against a door that opens when a key is absent, repeated or unconfirmed
BOOST_AUTO_TEST_CASE(a_request_runs_with_a_confirmed_key_or_on_an_open_route)
{
    organisation_directory const directory({make("a", {"key"})}, 1);
    using enum access_result;
    auto const result =
        [&](access_key const& key, bool open_route = false, bool confirmed = true)
    { return decide_access(&directory, key, open_route, confirmed).result; };
    BOOST_TEST((result({.value = "key"}) == authorised));
    BOOST_TEST((result({.value = ""}) == missing));
    BOOST_TEST((result({.value = "other"}) == unknown));
    BOOST_TEST((result({.value = "key", .malformed = true}) == malformed));
    BOOST_TEST((result({.value = "key"}, false, false) == unconfirmed));
    // It may have been added meanwhile
    BOOST_TEST((result({.value = "other"}, false, false) == unconfirmed));
    BOOST_TEST((result({.value = ""}, false, false) == missing));
    BOOST_TEST((result({.value = "other"}, true, false) == access_result::open));
    BOOST_TEST((decide_access(nullptr, {}, false, false).result == unrestricted));
    BOOST_TEST(decide_access(&directory, {.value = "key"}, false, true).caller->name ==
               "a");
    BOOST_TEST(!decide_access(&directory, {.value = "key"}, true, true).caller);
}

// With the organisation's priority alone, endpoints served urgent and other routes of
// equal organisations alike
BOOST_AUTO_TEST_CASE(routes_order_the_requests_of_equal_organisations)
{
    BOOST_TEST(request_priority(0, 2) < request_priority(1, 0));
    BOOST_TEST(request_priority(1, 0) < request_priority(1, 1));
    BOOST_TEST(request_priority(1, 2) < request_priority(2, 0));
    BOOST_TEST(request_priority(2, 7) < request_priority(3, 0));
    BOOST_TEST(request_priority(3, 0) == request_priority(9, 5));
    BOOST_TEST(request_priority(9, 9) == 9U);
    BOOST_TEST(request_priority(std::nullopt, 1) == request_priority(1, 1));
}

BOOST_AUTO_TEST_CASE(each_result_has_its_error)
{
    using enum access_result;
    for (auto const result : {unrestricted, access_result::open, authorised})
        BOOST_TEST((error_of(result) == error_kind::none));
    BOOST_TEST(answer_of(error_of(missing)).http_status == 401U);
    BOOST_TEST(answer_of(error_of(unknown)).http_status == 401U);
    BOOST_TEST(answer_of(error_of(malformed)).http_status == 400U);
    BOOST_TEST(answer_of(error_of(unconfirmed)).http_status == 503U);
    BOOST_TEST((answer_of(error_of(unconfirmed)).result == outcome::not_run));
}

BOOST_AUTO_TEST_SUITE_END()
