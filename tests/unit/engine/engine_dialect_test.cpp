#include <serving/engine/engine_dialect.hpp>
#include <serving/engine/load_report.hpp>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace marjorampath::serving;

BOOST_AUTO_TEST_SUITE(engine_dialect_test)

BOOST_AUTO_TEST_CASE(fields_are_read_from_a_generation_body)
{
    std::string problem;
    auto const body = read_generation_body(
        generation_route::completions,
        R"({"model":"lot-1","prompt":"12345678","stream":true,"max_tokens":5})", problem);
    BOOST_REQUIRE(body);
    BOOST_TEST(body->model == "lot-1");
    BOOST_TEST(body->streamed);
    BOOST_TEST(body->max_tokens == 5u);
    BOOST_TEST(body->continuable);
}

BOOST_AUTO_TEST_CASE(malformed_bodies_are_rejected_with_a_message)
{
    for (auto const* input : {"", "{", "[]", R"({"prompt":"a"})", R"({"model":1})",
                              R"({"model":"a"})", R"({"model":"a","messages":[]})"})
    {
        std::string problem;
        BOOST_TEST(!read_generation_body(generation_route::completions, input, problem));
        BOOST_TEST(!problem.empty());
    }
}

BOOST_AUTO_TEST_CASE(the_engine_body_names_the_exact_version_and_keeps_other_fields)
{
    auto const engine_body =
        make_engine_body(R"({"model":"lot-1","prompt":"p","top_p":0.5})",
                         {.qualified_adapter = "lot-1@3", .priority = 7});
    auto const value = boost::json::parse(engine_body);
    BOOST_TEST(value.at("model").as_string() == "lot-1@3");
    BOOST_TEST(value.at("priority").as_int64() == 7);
    BOOST_TEST(value.at("top_p").as_double() == 0.5);
}

BOOST_AUTO_TEST_CASE(a_continuation_contains_the_delivered_text)
{
    auto const completion = boost::json::parse(make_engine_body(
        R"({"model":"a","prompt":"p:","max_tokens":10})",
        {.qualified_adapter = "a@1", .delivered_text = "x\\n", .delivered_tokens = 4}));
    BOOST_TEST(completion.at("prompt").as_string() == "p:x\n");
    BOOST_TEST(completion.at("max_tokens").to_number<int>() == 6);

    auto const chat = boost::json::parse(
        make_engine_body(R"({"model":"a","messages":[{"role":"user","content":"q"}]})",
                         {.route = generation_route::chat_completions,
                          .qualified_adapter = "a@1",
                          .delivered_text = "x",
                          .delivered_tokens = 1}));
    BOOST_TEST(chat.at("messages").as_array().size() == 2u);
    BOOST_TEST(chat.at("continue_final_message").as_bool());
}

BOOST_AUTO_TEST_CASE(several_choices_cannot_be_continued)
{
    std::string problem;
    auto const body = read_generation_body(
        generation_route::completions, R"({"model":"a","prompt":"p","n":2})", problem);
    BOOST_REQUIRE(body);
    BOOST_TEST(!body->continuable);
}

BOOST_AUTO_TEST_CASE(a_load_report_lists_the_adapters_of_the_engine)
{
    endpoint_report listed;
    listed.endpoint = endpoint_id::of("e");
    auto const report = read_load_report(
        R"({"boot":3,"slots":4,"concurrency":8,"adapters":["a@1"],"draining":true})",
        listed);
    BOOST_REQUIRE(report);
    BOOST_TEST(report->endpoint.boot_number == 3u);
    BOOST_TEST(report->endpoint.adapter_slots == 4u);
    BOOST_TEST(report->endpoint.leaving);
    BOOST_TEST((report->endpoint.resident ==
                std::vector<adapter_version_id>{adapter_version_id::of("a@1")}));
    for (auto const* input : {"", "[]", R"({"boot":1})", R"({"adapters":[1]})",
                              R"({"boot":-1,"adapters":[]})"})
        BOOST_TEST(!read_load_report(input, listed));
}

BOOST_AUTO_TEST_SUITE_END()
