#include <tests/process/process_fleet.hpp>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

using namespace marjorampath::test;

namespace
{

// A request and the status that it must get
struct bad_request
{
    char const* name;
    char const* path;
    std::string body;
    header_fields fields;
    unsigned status;
};

std::vector<bad_request> bad_requests()
{
    auto const good = completion_body("lot-1", "prompt", 3, false);
    return {
        {"malformed JSON", "/dossier/v1/completions", "{\"model\":", {}, 400},
        {"not an object", "/dossier/v1/completions", "[1]", {}, 400},
        {"no model", "/dossier/v1/completions", "{\"prompt\":\"x\"}", {}, 400},
        {"unknown adapter",
         "/dossier/v1/completions",
         completion_body("lot-99", "prompt", 3, false),
         {},
         404},
        {"unknown service", "/nobody/v1/completions", good, {}, 404},
        {"unknown plain service", "/services/nobody/x", good, {}, 404},
        {"a model service as a plain one", "/services/dossier/x", good, {}, 404},
        {"unknown path", "/nowhere", good, {}, 404},
        {"malformed deadline",
         "/dossier/v1/completions",
         good,
         {{"X-Deadline-Ms", "soon"}},
         400},
        {"malformed priority",
         "/dossier/v1/completions",
         good,
         {{"X-Priority", "high"}},
         400},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(bad_input)

BOOST_AUTO_TEST_CASE(bad_requests_get_a_specific_error_and_affect_no_others)
{
    process_fleet fleet({});
    for (auto const& each : bad_requests())
    {
        BOOST_TEST_CONTEXT(each.name)
        {
            auto const answer =
                call(fleet.node().address(), "POST", each.path, each.body, each.fields);
            BOOST_TEST(answer.status == each.status);
            BOOST_TEST(answer.outcome == "not-run");
            BOOST_TEST(!answer.kind.empty());
            BOOST_TEST(!answer.request_id.empty());
            boost::system::error_code error;
            auto const document = boost::json::parse(answer.body, error);
            BOOST_TEST((!error && document.is_object() &&
                        document.get_object().contains("error")),
                       answer.body);
        }
    }
    BOOST_TEST(fleet.engine_records("outcome", "finished").empty());
    auto const good = fleet.complete("lot-1", "still", 3, false);
    BOOST_TEST(good.text() == expected_text("lot-1@v1", "still", 3));
}

BOOST_AUTO_TEST_CASE(oversized_and_malformed_messages_are_refused)
{
    process_fleet fleet({});
    struct raw_request
    {
        char const* name;
        std::string bytes;
        unsigned status;
    };
    std::string const head = "POST /dossier/v1/completions HTTP/1.1\r\nHost: x\r\n";
    for (auto const& each : std::vector<raw_request>{
             {"oversized head",
              head + "X-Long: " + std::string(200'000, 'a') + "\r\n\r\n", 431},
             {"oversized body", head + "Content-Length: 1000000000\r\n\r\n{", 413},
             {"malformed HTTP", "HELLO\r\n\r\n", 400},
             {"malformed length", head + "Content-Length: many\r\n\r\n", 400}})
    {
        BOOST_TEST_CONTEXT(each.name)
        {
            test_client caller(fleet.node().address());
            caller.send_raw(each.bytes);
            auto const answer = caller.read_answer();
            BOOST_TEST(answer.status == each.status);
            BOOST_TEST(answer.outcome == "not-run");
        }
    }
    auto const good = fleet.complete("lot-1", "still", 3, false);
    BOOST_TEST(good.text() == expected_text("lot-1@v1", "still", 3));
}

BOOST_AUTO_TEST_SUITE_END()
