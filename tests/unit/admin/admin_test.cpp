#include <marjorampath/journal/journal.hpp>
#include <serving/admin/admin_server.hpp>
#include <serving/replay/http_exchange.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <exception>
#include <string>

using namespace marjorampath;
using namespace marjorampath::serving;
namespace http = boost::beast::http;

namespace
{

// Hashes of `view-token` and `act-token`
constexpr char const* token_file =
    "- {name: morning, role: viewer, team: drafting, sha256: "
    "5e17bb983b1ff3b4acbcaa8451a4173faa5575c682e7cf8615e2ed5e50fad7bd}\n"
    "- {name: chief, role: operator, sha256: "
    "3ee9ff6663307117de5ccfb4241080aa5b005c36e0a7ee13cafc5343e2bcb5ce}\n";

// A server with one route to read and one to act
struct admin_fixture
{
    admin_fixture()
        : server(control, std::get<admin_tokens>(admin_tokens::read(token_file)),
                 routes(), [] { return std::string("up 1\n"); })
    {
        auto const loopback = boost::asio::ip::make_address("127.0.0.1");
        BOOST_REQUIRE(!server.listen({loopback, 0}));
    }

    std::vector<admin_route> routes()
    {
        return {{.path = "/v1/status",
                 .handle = [](admin_request const& request) -> admin_answer
                 {
                     return boost::json::value{{"team", request.principal.team},
                                               {"since", request.query.at("since")}};
                 }},
                {.method = http::verb::post,
                 .path = "/v1/drain",
                 .role = admin_role::operate,
                 .handle = [this](admin_request const&) -> admin_answer
                 {
                     ++acts;
                     return boost::json::value{{"draining", true}};
                 }}};
    }

    replay_attempt call(http::verb method, char const* target, std::string const& token)
    {
        constexpr unsigned http_version = 11;
        constexpr std::chrono::seconds timeout{10};
        http::request<http::string_body> request(method, target, http_version);
        request.set(http::field::authorization, "Bearer " + token);
        request.set(http::field::connection, "close");
        replay_attempt result;
        boost::asio::co_spawn(control,
                              exchange(server.address(), std::move(request), timeout),
                              [&](std::exception_ptr const&, replay_attempt got)
                              {
                                  result = std::move(got);
                                  control.stop();
                              });
        control.restart();
        control.run();
        return result;
    }

    boost::asio::io_context control;
    int acts = 0;
    admin_server server;
};

} // namespace

BOOST_AUTO_TEST_SUITE(admin)

BOOST_FIXTURE_TEST_CASE(a_known_token_reads_with_its_team, admin_fixture)
{
    auto const answer = call(http::verb::get, "/v1/status?since=5", "view-token");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.text == R"({"team":"drafting","since":"5"})");
}

BOOST_FIXTURE_TEST_CASE(wrong_tokens_roles_and_paths_are_refused, admin_fixture)
{
    BOOST_TEST(call(http::verb::get, "/v1/status?since=5", "guess").status == 401);
    BOOST_TEST(call(http::verb::get, "/v1/status?since=5", "").status == 401);
    BOOST_TEST(call(http::verb::post, "/v1/drain", "view-token").status == 403);
    BOOST_TEST(call(http::verb::get, "/v1/nothing", "act-token").status == 404);
    BOOST_TEST(acts == 0);
    BOOST_TEST(call(http::verb::post, "/v1/drain", "act-token").status == 200);
    BOOST_TEST(acts == 1);
}

BOOST_FIXTURE_TEST_CASE(metrics_need_no_token, admin_fixture)
{
    BOOST_TEST(call(http::verb::get, "/metrics", "").text == "up 1\n");
}

BOOST_AUTO_TEST_CASE(a_bad_token_file_is_named_by_line)
{
    for (std::string const bad :
         {"- {name: a, role: king, sha256: 00}", "- {name: a, role: viewer, sha256: 00}",
          "- {role: viewer}", "- ["})
        BOOST_TEST_CONTEXT(bad)
        {
            BOOST_TEST(admin_tokens::read(bad).index() == 1u);
        }
}

BOOST_AUTO_TEST_CASE(a_journal_is_bounded_and_shows_teams_their_own)
{
    journal night(3);
    for (int hour = 1; hour <= 5; ++hour)
        night.add(
            {.at = wall_milliseconds(hour),
             .reason = hour == 2 ? error_kind::endpoint_lost : error_kind::queue_full,
             .service = "dossier",
             .team = hour % 2 == 0 ? "drafting" : "custody",
             .request = std::to_string(hour)});
    BOOST_TEST(night.dropped() == 2);
    BOOST_TEST(night.since(wall_milliseconds(0), "").size() == 3);
    BOOST_TEST(night.since(wall_milliseconds(5), "").size() == 1);
    BOOST_TEST(night.since(wall_milliseconds(0), "drafting").size() == 1);
    auto const counts = night.counts();
    BOOST_REQUIRE(counts.size() == 2);
    BOOST_TEST((counts[0].reason == error_kind::queue_full));
    BOOST_TEST(counts[0].count == 4);
}

BOOST_AUTO_TEST_SUITE_END()
