#include <tests/unit/entry/entry_fixture.hpp>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

// An entry host whose deployment has organisations
struct access_fixture : entry_fixture
{
    access_fixture(std::deque<scripted_answer> first, std::deque<scripted_answer> second)
        : entry_fixture(std::move(first), std::move(second))
    {
        publish({{.name = "a", .keys = {"key-a"}, .priority = 2, .quota = {}},
                 {.name = "b", .keys = {"key-b"}, .priority = {}, .quota = {}}});
    }

    // Puts a configuration with these organisations in force
    void publish(std::vector<organisation> organisations, bool safe_route_is_open = true)
    {
        auto changed = std::make_shared<deployment>(context.routes->source());
        changed->version += 1;
        changed->routes[0].open = safe_route_is_open;
        changed->organisations = {.organisations = std::move(organisations),
                                  .problems = {}};
        context.routes = std::make_shared<route_table const>(changed);
        context.freshness.on_configuration(changed->version);
    }

    // Revokes all keys when the first endpoint gets a request
    void revoke_at_first_request()
    {
        servers[0]->on_request = [this] { publish({}, false); };
    }

    // Makes hosts refuse keys that they cannot confirm; the last proof has this age
    void bound_revocation(duration age)
    {
        context.freshness =
            configuration_freshness({.revocation_bound = 5s, .margin = 300ms});
        context.freshness.on_configuration(context.routes->source().version);
        context.freshness.on_operator_read(
            {.asked_at = boot_now() - age,
             .complete = {.revision = 1},
             .stored_version = context.routes->source().version},
            boot_now());
    }

    [[nodiscard]] caller_message const& sent(std::size_t server = 0) const
    {
        return servers[server]->requests.back();
    }
};

constexpr char const* unsafe_path = "/unsafe/x";

} // namespace

BOOST_AUTO_TEST_SUITE(entry_access)

// The key went to endpoints, and no endpoint was told the organisation
BOOST_AUTO_TEST_CASE(an_endpoint_gets_the_organisation_and_not_the_key)
{
    access_fixture fixture({{sealed("whole")}}, {});
    auto const answer = fixture.send_request(
        http::verb::post, unsafe_path, {{"X-Key", "key-a"}, {"X-Tenant", "forged"}});
    BOOST_TEST(contains(answer, "200 OK"));
    BOOST_TEST(fixture.sent()["X-Tenant"] == "a");
    BOOST_TEST(fixture.sent().count("X-Tenant") == 1U);
    BOOST_TEST(fixture.sent().count("X-Key") == 0U);
}

BOOST_AUTO_TEST_CASE(each_attempt_names_the_organisation)
{
    access_fixture fixture({{"", true}}, {{sealed("whole")}});
    fixture.publish({{.name = "a", .keys = {"key-a"}, .priority = {}, .quota = {}}},
                    false);
    auto const answer =
        fixture.send_request(http::verb::get, "/safe/x", {{"X-Key", "key-a"}});
    BOOST_TEST(contains(answer, "200 OK"));
    for (std::size_t const server : {0U, 1U})
    {
        BOOST_TEST(fixture.sent(server)["X-Tenant"] == "a");
        BOOST_TEST(fixture.sent(server).count("X-Key") == 0U);
    }
}

// A stream that is continued at a second endpoint
BOOST_AUTO_TEST_CASE(a_continued_stream_names_the_organisation)
{
    access_fixture fixture({{stream_head() + chunk(events(1, 2))}},
                           {{stream_head() + chunk(events(3, 4)) + chunk("")}});
    auto const answer =
        fixture.send_request(http::verb::post, "/resumable/x", {{"X-Key", "key-b"}});
    BOOST_TEST(contains(answer, "id: 4"));
    BOOST_TEST(fixture.sent(1)["X-Tenant"] == "b");
    BOOST_TEST(fixture.sent(1).count("X-Key") == 0U);
}

BOOST_AUTO_TEST_CASE(an_open_route_takes_no_organisation_from_the_caller)
{
    access_fixture fixture({{sealed("1")}}, {});
    auto const answer = fixture.send_request(
        http::verb::get, "/safe/x", {{"X-Tenant", "forged"}, {"X-Key", "key-a"}});
    BOOST_TEST(contains(answer, "200 OK"));
    BOOST_TEST(fixture.sent().count("X-Tenant") == 0U);
    BOOST_TEST(fixture.sent().count("X-Key") == 0U);
}

// Without organisations both fields are those of the application
BOOST_AUTO_TEST_CASE(a_deployment_without_organisations_forwards_all_fields)
{
    entry_fixture fixture({{sealed("1")}}, {});
    auto const answer = fixture.send_request(http::verb::post, unsafe_path,
                                             {{"X-Tenant", "own"}, {"X-Key", "any"}});
    BOOST_TEST(contains(answer, "200 OK"));
    BOOST_TEST(fixture.servers[0]->requests.back()["X-Tenant"] == "own");
    BOOST_TEST(fixture.servers[0]->requests.back()["X-Key"] == "any");
}

BOOST_AUTO_TEST_CASE(a_request_without_a_valid_key_reaches_no_endpoint)
{
    using fields = std::vector<std::pair<char const*, char const*>>;
    for (auto const& sent : {fields{}, fields{{"X-Key", "other"}}})
    {
        access_fixture fixture({}, {});
        auto const answer = fixture.send_request(http::verb::post, unsafe_path, sent);
        BOOST_TEST(contains(answer, "401 Unauthorized"));
        BOOST_TEST(contains(answer, "X-Attempt-Id: 9c41"));
        BOOST_TEST(!contains(answer, "other"));
        BOOST_TEST(fixture.sends() == 0U);
    }
}

// A host to which a request was passed on may know of a revocation that the first host
// does not
BOOST_AUTO_TEST_CASE(a_request_that_was_passed_on_is_checked_again)
{
    caller_message message(http::verb::get, "/unsafe/x", 11);
    message.set("X-Key", "key-a");
    auto const passed_on = platform::request_dialect::forwarded_message(message, {});
    BOOST_TEST(passed_on["X-Key"] == "key-a");

    access_fixture authorised({{sealed("1")}}, {});
    authorised.forwarded = true;
    BOOST_TEST(contains(authorised.send_request(http::verb::post, unsafe_path,
                                                {{"X-Key", "key-a"}, {"X-Tenant", "b"}}),
                        "200 OK"));
    BOOST_TEST(authorised.sent()["X-Tenant"] == "a");
    BOOST_TEST(authorised.sent().count("X-Key") == 0U);

    access_fixture revoked({{sealed("1")}}, {});
    revoked.forwarded = true;
    revoked.publish({});
    BOOST_TEST(contains(
        revoked.send_request(http::verb::post, unsafe_path, {{"X-Key", "key-a"}}),
        "401 Unauthorized"));
    BOOST_TEST(revoked.sends() == 0U);
}

// A refusal by the head of a request must not lose the next request on the connection,
// and must not read a body that nobody wants
BOOST_AUTO_TEST_CASE(a_refusal_by_the_head_keeps_the_connection_if_there_is_no_body)
{
    entry_fixture fixture({{sealed("1")}}, {});
    std::size_t seen = 0;
    fixture.context.callers.refuse_head =
        [&](caller_message const& message) -> std::optional<caller_answer>
    {
        BOOST_TEST(message.body().empty());
        ++seen;
        if (message.target() == "/unsafe/1")
            return std::nullopt;
        return platform::request_dialect::error_answer(
            {.kind = error_kind::unauthorized, .message = {}}, "9c41");
    };
    auto const head = [](char const* method, char const* path, char const* more)
    {
        return fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 9c41\r\n"
                           "X-Deadline-Ms: 2000\r\n{}\r\n",
                           method, path, more);
    };
    auto const text = head("GET", "/safe/0", "") + head("GET", "/unsafe/1", "") +
                      head("POST", "/unsafe/2", "Content-Length: 8000000\r\n") + "body";
    auto const answers = fixture.send_bytes(text);
    BOOST_TEST(seen == 3U);
    auto const first = answers.find("401 Unauthorized");
    auto const second = answers.find("200 OK");
    auto const third = answers.find("401 Unauthorized", second);
    BOOST_TEST(first < second);
    BOOST_TEST(second < third);
    BOOST_TEST(third != std::string::npos);
    BOOST_TEST(contains(answers.substr(third), "Connection: close"));
}

// A trailer joins the fields of the head behind the check of the head
BOOST_AUTO_TEST_CASE(a_trailer_neither_adds_a_key_nor_an_organisation)
{
    auto const request = [](std::string const& trailer)
    {
        return "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 9c41\r\n"
               "X-Deadline-Ms: 2000\r\nX-Key: key-a\r\nConnection: close\r\n"
               "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n" +
               trailer + "\r\n";
    };
    access_fixture fixture({{sealed("1")}}, {});
    BOOST_TEST(contains(fixture.send_bytes(request("X-Tenant: b\r\n")), "200 OK"));
    BOOST_TEST(fixture.sent()["X-Tenant"] == "a");
    BOOST_TEST(fixture.sent().count("X-Tenant") == 1U);
    access_fixture other({{sealed("1")}}, {});
    BOOST_TEST(
        contains(other.send_bytes(request("X-Key: key-b\r\n")), "400 Bad Request"));
    BOOST_TEST(other.sends() == 0U);
}

// Two keys leave open for which organisation the request runs
BOOST_AUTO_TEST_CASE(two_keys_and_a_key_that_is_too_long_are_malformed)
{
    caller_message message(http::verb::get, "/unsafe/x", 11);
    message.insert("X-Key", "key-a");
    BOOST_TEST(!platform::request_dialect::caller_key(message).malformed);
    message.insert("x-key", "key-b");
    BOOST_TEST(platform::request_dialect::caller_key(message).malformed);
    message.erase("X-Key");
    message.set("X-Key", std::string(max_key_bytes + 1, 'k'));
    BOOST_TEST(platform::request_dialect::caller_key(message).malformed);
}

BOOST_AUTO_TEST_CASE(an_organisations_priority_goes_before_that_of_the_route)
{
    access_fixture fixture({{sealed("1")}}, {});
    auto const answer = fixture.send_request(http::verb::post, unsafe_path,
                                             {{"X-Key", "key-a"}, {"X-Model", "m"}});
    BOOST_TEST(contains(answer, "200 OK"));
    BOOST_TEST(fixture.sent()["X-Request-Priority"] == "6");
}

// A host that is cut off does not know whether the key was revoked
BOOST_AUTO_TEST_CASE(a_key_that_cannot_be_confirmed_is_refused_as_not_run)
{
    access_fixture fixture({{sealed("1")}}, {});
    fixture.bound_revocation(4'701ms);
    auto const answer =
        fixture.send_request(http::verb::post, unsafe_path, {{"X-Key", "key-a"}});
    BOOST_TEST(contains(answer, "503 Service Unavailable"));
    BOOST_TEST(contains(answer, "Retry-After: 0.80"));
    BOOST_TEST(contains(answer, "not-run"));
    BOOST_TEST(fixture.sends() == 0U);
}

BOOST_AUTO_TEST_CASE(an_open_route_needs_no_confirmation)
{
    access_fixture fixture({{sealed("1")}}, {});
    fixture.bound_revocation(9s);
    BOOST_TEST(contains(fixture.send_request(http::verb::get, "/safe/x"), "200 OK"));
}

// The first attempt did not run
BOOST_AUTO_TEST_CASE(a_key_is_checked_before_each_attempt)
{
    access_fixture fixture({{refusal_of("9c41")}}, {{sealed("2")}});
    fixture.revoke_at_first_request();
    auto const answer =
        fixture.send_request(http::verb::post, unsafe_path, {{"X-Key", "key-a"}});
    BOOST_TEST(contains(answer, "401 Unauthorized"));
    BOOST_TEST(fixture.servers[1]->requests.empty());
}

// A request that may have run is never reported as not run
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_unknown_when_its_key_is_revoked)
{
    access_fixture fixture({{"", true}}, {{sealed("2")}});
    fixture.publish({{.name = "a", .keys = {"key-a"}, .priority = {}, .quota = {}}},
                    false);
    fixture.revoke_at_first_request();
    auto const answer =
        fixture.send_request(http::verb::get, "/safe/x", {{"X-Key", "key-a"}});
    BOOST_TEST(contains(answer, "502 Bad Gateway"));
    BOOST_TEST(fixture.servers[1]->requests.empty());
}

// A revocation ends no answer that has begun
BOOST_AUTO_TEST_CASE(a_stream_that_has_begun_goes_on_when_its_key_is_revoked)
{
    access_fixture fixture({{stream_head() + chunk(events(1, 2))}},
                           {{stream_head() + chunk(events(3, 4)) + chunk("")}});
    fixture.revoke_at_first_request();
    auto const answer =
        fixture.send_request(http::verb::post, "/resumable/x", {{"X-Key", "key-a"}});
    BOOST_TEST(contains(answer, "id: 4"));
    BOOST_TEST(fixture.sent(1)["X-Tenant"] == "a");
    BOOST_TEST(fixture.sent(1).count("X-Key") == 0U);
}

// Guards against a customer that gets more than its limit (QUOTA)
BOOST_AUTO_TEST_CASE(a_request_beyond_its_quota_is_refused_at_once_as_not_run)
{
    access_fixture entry({{sealed("one")}, {sealed("two")}}, {});
    entry.publish({{.name = "a",
                    .keys = {"key-a"},
                    .priority = {},
                    .quota = {.unit = quota_unit::tokens,
                              .rate = 10,
                              .burst = 0,
                              .plain_tokens = 200}},
                   {.name = "b", .keys = {"key-b"}, .priority = {}, .quota = {}}});
    entry.context.quotas.set_hosts({}, boot_now());
    entry.context.quotas.set_organisations(
        entry.context.routes->source().organisations->organisations, boot_now());
    auto const first =
        entry.send_request(http::verb::post, unsafe_path, {{"X-Key", "key-a"}});
    BOOST_TEST(first.ends_with("one"));
    entry.done = false;
    auto const refused =
        entry.send_request(http::verb::post, unsafe_path, {{"X-Key", "key-a"}});
    BOOST_TEST(refused.starts_with("HTTP/1.1 429"));
    BOOST_TEST(contains(refused, "X-Outcome: not-run"));
    BOOST_TEST(contains(refused, "Retry-After: "));
    BOOST_TEST(entry.sends() == 1U);

    // Others are served
    entry.done = false;
    auto const other =
        entry.send_request(http::verb::post, unsafe_path, {{"X-Key", "key-b"}});
    BOOST_TEST(other.ends_with("two"));
}

// A request that an endpoint refused counts for nothing
BOOST_AUTO_TEST_CASE(a_request_that_no_endpoint_ran_is_given_back_to_its_quota)
{
    access_fixture entry({{.text = refused, .closes = true}, {sealed("two")}},
                         {{.text = refused, .closes = true}});
    entry.publish({{.name = "a",
                    .keys = {"key-a"},
                    .priority = {},
                    .quota = {.unit = quota_unit::requests, .rate = 0.01}}});
    entry.context.quotas.set_hosts({}, boot_now());
    entry.context.quotas.set_organisations(
        entry.context.routes->source().organisations->organisations, boot_now());
    auto const first =
        entry.send_request(http::verb::post, unsafe_path, {{"X-Key", "key-a"}});
    BOOST_TEST(first.starts_with("HTTP/1.1 503"));
    entry.done = false;
    auto const second =
        entry.send_request(http::verb::post, unsafe_path, {{"X-Key", "key-a"}});
    BOOST_TEST(!second.starts_with("HTTP/1.1 429"));
}

BOOST_AUTO_TEST_SUITE_END()
