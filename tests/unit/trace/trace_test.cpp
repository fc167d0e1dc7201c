#include <marjorampath/sheet/sheet_packer.hpp>
#include <marjorampath/sheet/sheet_reader.hpp>
#include <marjorampath/trace/promise_judge.hpp>
#include <marjorampath/trace/trace_generator.hpp>
#include <marjorampath/trace/trace_text.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;

namespace
{

std::shared_ptr<sheet const> example_sheet()
{
    std::vector<sheet_part> const tables{
        {"endpoint_kinds", "endpoint_kind,base_model,adapter_slots,concurrency,"
                           "checks_fence\nengine,base-7b,4,8,yes\nportal,,0,4,no\n"},
        {"services", "service,kind,endpoint_kind,team,weight,deadline_ms\n"
                     "dossier,model,engine,drafting,3,20000\n"
                     "portal,plain,portal,custody,1,5000\n"},
        {"adapters", "service,adapter,version\ndossier,mill-1,3\n"},
        {"non_idempotent", "service,method,path\nportal,POST,/transfers\n"}};
    auto const packed = pack_sheet(1, tables);
    return std::get<0>(read_sheet(packed.manifest, packed.parts));
}

std::string make_text(std::string_view model, std::string_view, std::uint32_t tokens)
{
    return std::string(model) + ':' + std::to_string(tokens);
}

// What the judge finds for one request, one answer and what endpoints recorded
std::vector<broken_promise> judge_one(trace_request const& request,
                                      replay_attempt const& attempt,
                                      std::vector<endpoint_record> const& records)
{
    auto const in_force = example_sheet();
    std::vector<trace_request> const trace{request};
    std::vector<replay_result> const results{{.index = 0, .attempts = {attempt}}};
    return check_replay({*in_force, trace, results, records, make_text});
}

trace_request const model_request{.service = "dossier",
                                  .adapter = "mill-1",
                                  .operation = "completions",
                                  .max_tokens = 5};

replay_attempt const whole_attempt{
    .status = 200, .request_id = "r1", .text = "mill-1@3:5", .complete = true};

bool has(std::vector<broken_promise> const& broken, promise which)
{
    return broken.size() == 1 && broken[0].which == which;
}

} // namespace

BOOST_AUTO_TEST_SUITE(trace)

BOOST_AUTO_TEST_CASE(a_generated_trace_survives_its_text_and_repeats)
{
    for (auto const* customer : {"ennstal", "trazalgodon"})
    {
        auto const options = trace_options_of(customer);
        auto const made = generate_trace(options, 11);
        std::string text;
        for (auto const& request : made)
            text += write_trace_line(request) + '\n';
        auto const read = std::get<0>(read_trace(text));
        BOOST_REQUIRE(read.size() == made.size());
        BOOST_TEST(read.size() > 500);
        for (std::size_t index = 0; index < read.size(); ++index)
            BOOST_TEST(write_trace_line(read[index]) == write_trace_line(made[index]));
        BOOST_TEST(write_trace_line(generate_trace(options, 11).back()) ==
                   write_trace_line(made.back()));
        BOOST_TEST(write_trace_line(generate_trace(options, 12).back()) !=
                   write_trace_line(made.back()));
    }
}

BOOST_AUTO_TEST_CASE(a_bad_line_is_named)
{
    std::string const good =
        R"({"at_ms":5,"service":"dossier","operation":"completions"})"
        "\n";
    for (std::string const bad :
         {"nonsense", "[]", R"({"at_ms":-1,"service":"s","operation":"chat"})",
          R"({"at_ms":4,"service":"s","operation":"chat"})",
          R"({"at_ms":9,"operation":"chat"})", R"({"at_ms":9,"service":"s"})",
          R"({"at_ms":9,"service":"s","operation":"chat","expect":"maybe"})",
          R"({"at_ms":9,"service":"s","operation":"chat","max_token":3})",
          R"({"at_ms":9,"service":"s","operation":"chat","stream":"yes"})"})
    {
        auto const result = read_trace(good + bad);
        BOOST_TEST_CONTEXT(bad)
        {
            BOOST_REQUIRE(result.index() == 1u);
            BOOST_TEST(std::get<1>(result).line == 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_kept_promise_is_not_reported)
{
    BOOST_TEST(judge_one(model_request, whole_attempt,
                         {{.request_id = "r1", .model = "mill-1@3"}})
                   .empty());
}

BOOST_AUTO_TEST_CASE(every_promise_can_be_found_broken)
{
    auto attempt = whole_attempt;
    attempt.text = "mill-1@2:5";
    BOOST_TEST(has(judge_one(model_request, attempt, {}), promise::right_adapter));
    attempt.text = "mill-1@3:4";
    BOOST_TEST(has(judge_one(model_request, attempt, {}), promise::whole_answer));
    attempt = whole_attempt;
    attempt.complete = false;
    BOOST_TEST(has(judge_one(model_request, attempt, {}), promise::stated_outcome));
    attempt.status = 0;
    BOOST_TEST(has(judge_one(model_request, attempt, {}), promise::answered));

    // A refused request must not be in an endpoint's records
    auto request = model_request;
    request.expect = expected_outcome::not_run;
    replay_attempt const refused{.status = 503, .outcome = "not-run", .request_id = "r1"};
    BOOST_TEST(judge_one(request, refused, {}).empty());
    BOOST_TEST(
        has(judge_one(request, refused, {{.request_id = "r1"}}), promise::not_run_true));

    // A key must not be in the records twice
    std::vector<endpoint_record> const twice{{.request_id = "r2", .key = "k"},
                                             {.request_id = "r3", .key = "k"}};
    BOOST_TEST(
        has(judge_one(model_request, whole_attempt, twice), promise::at_most_once));
    BOOST_TEST(has(judge_one(model_request, whole_attempt, {{.violation = "evicted"}}),
                   promise::no_serving_eviction));
}

BOOST_AUTO_TEST_SUITE_END()
