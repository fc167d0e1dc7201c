#include <serving/caller/caller_request.hpp>
#include <serving/caller/error_reply.hpp>
#include <serving/service/hop_by_hop_fields.hpp>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace marjorampath::serving;
namespace http = boost::beast::http;

namespace
{

caller_message message_of(http::verb method, std::string_view target)
{
    return {method, {target.data(), target.size()}, 11};
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_request_test)

BOOST_AUTO_TEST_CASE(routes_are_found)
{
    auto const named = find_route("POST", "/dossier/v1/completions");
    BOOST_TEST((named.kind == route_kind::completions));
    BOOST_TEST(named.service == "dossier");
    BOOST_TEST((find_route("POST", "/v1/chat/completions").kind ==
                route_kind::chat_completions));
    BOOST_TEST((find_route("GET", "/dossier/v1/models").kind == route_kind::models));
    BOOST_TEST((find_route("GET", "/healthz").kind == route_kind::health));

    auto const plain = find_route("PUT", "/services/ledger/bids/9?x=1");
    BOOST_TEST((plain.kind == route_kind::plain));
    BOOST_TEST(plain.service == "ledger");
    BOOST_TEST(plain.target == "/bids/9?x=1");
    BOOST_TEST(find_route("GET", "/services/ledger").target == "/");

    for (auto const* target : {"", "/", "//v1/completions", "/services/", "/v1/other",
                               "/a/b/v1/completions", "*"})
        BOOST_TEST((find_route("POST", target).kind == route_kind::none), target);
    BOOST_TEST((find_route("GET", "/v1/completions").kind == route_kind::none));
}

BOOST_AUTO_TEST_CASE(headers_are_read)
{
    auto message = message_of(http::verb::post, "/v1/completions");
    message.set("X-Service", "dossier");
    message.set("X-Deadline-Ms", "250");
    message.set("X-Priority", "-3");
    message.set("Idempotency-Key", "k");
    std::string problem;
    auto const request = read_caller_request(message, problem);
    BOOST_REQUIRE(request);
    BOOST_TEST(request->route.service == "dossier");
    BOOST_TEST((request->deadline == std::chrono::milliseconds(250)));
    BOOST_TEST(request->priority == -3);
    BOOST_TEST(request->idempotency_key == "k");
}

BOOST_AUTO_TEST_CASE(malformed_headers_are_refused)
{
    struct fault
    {
        char const* name;
        std::string value;
    };
    for (auto const& each : std::initializer_list<fault>{
             {"X-Deadline-Ms", "0"},
             {"X-Deadline-Ms", "-1"},
             {"X-Deadline-Ms", "1s"},
             {"X-Deadline-Ms", "99999999999"},
             {"X-Priority", "high"},
             {"Idempotency-Key", std::string(257, 'k')},
         })
    {
        auto message = message_of(http::verb::post, "/v1/completions");
        message.set(each.name, each.value);
        std::string problem;
        BOOST_TEST(!read_caller_request(message, problem), each.name);
        BOOST_TEST(!problem.empty());
    }
}

BOOST_AUTO_TEST_CASE(every_error_kind_has_its_answer)
{
    for (auto const& row : all_error_answers())
    {
        auto const reply =
            make_error_reply({.kind = row.kind, .retry_after = std::chrono::seconds(3)});
        auto const document = boost::json::parse(reply.body());
        BOOST_TEST(reply.result_int() == row.http_status);
        BOOST_TEST(reply["X-Error-Kind"] == row.name);
        BOOST_TEST(reply["X-Outcome"] == to_string(row.result));
        BOOST_TEST((reply[http::field::retry_after] == "3") == row.retry_later);
        BOOST_TEST(document.at("error").at("kind").as_string() == row.name);
    }
}

BOOST_AUTO_TEST_CASE(fields_of_one_connection_are_removed)
{
    http::fields fields;
    fields.set("Connection", "close, X-Own");
    fields.set("X-Own", "1");
    fields.set("Transfer-Encoding", "chunked");
    fields.set("Content-Length", "3");
    fields.set("X-Kept", "1");
    remove_hop_by_hop_fields(fields);
    BOOST_TEST(fields.count("X-Own") == 0u);
    BOOST_TEST(fields.count("Transfer-Encoding") == 0u);
    BOOST_TEST(fields.count("Content-Length") == 1u);
    BOOST_TEST(fields.count("X-Kept") == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
