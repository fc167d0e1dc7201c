#include <boost/beast/http/parser.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <memory>
#include <platform/engine_client.hpp>
#include <platform/json_fields.hpp>
#include <platform/request_dialect.hpp>
#include <platform/store_codec.hpp>
#include <random>

using namespace marjorampath;
using namespace marjorampath::platform;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
using serving::endpoint_verdict;

namespace
{

constexpr std::string_view configuration = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","prefix":"/s/","type":"streaming","timeoutMs":12000,
  "goalMs":1000,"priority":1,"service":"models","maxAttempts":2,"sticky":true,
  "resumable":true,"gapGoalMs":600},
 {"name":"r2","host":"a.example","prefix":"/u/","type":"unsafe","timeoutMs":2000,
  "goalMs":300,"split":[{"service":"plain","weight":90},{"service":"other","weight":10}],
  "maxAttempts":1}],
 "services":[{"name":"models","healthPath":"/healthz","maxConns":360,"engine":{"slots":64,
  "kvCapacity":232000,"models":[{"name":"m","weightsMb":65099.9,"loadS":1.9,
  "adapters":3000,"adapterMb":12.0}],"weightsMb":66500.0,"adapterSlots":8,
  "loadsPerS":2.1}},{"name":"plain","maxConns":96}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000},"unknown":[1,2]})";

std::shared_ptr<route_table const> make_routes()
{
    return std::make_shared<route_table const>(
        std::make_shared<deployment const>(*read_deployment(configuration)));
}

serving::caller_message make_message(std::string const& target)
{
    serving::caller_message message(http::verb::post, target, 11);
    message.set("Host", "a.example");
    message.set("X-Attempt-Id", "9c41");
    message.set("X-Deadline-Ms", "4000");
    message.set("X-Model", "m/a3");
    message.set("X-Token-Count", "1460,80");
    message.set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    message.body() = "{}";
    message.prepare_payload();
    return message;
}

// Body of a request as it is sent on
std::string body_of(serving::outgoing_message const& message)
{
    return {message.body().data(), message.body().size()};
}

serving::answer_reader::head
make_head(unsigned status, std::vector<std::pair<char const*, char const*>> const& fields)
{
    serving::answer_reader::head head;
    head.result(status);
    for (auto const& [name, value] : fields)
        head.set(name, value);
    return head;
}

store_item endpoint_item(std::string const& value)
{
    return {.key = "servers/i-1", .value = value, .position = {.revision = 5}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(users_platform)

BOOST_AUTO_TEST_CASE(a_configuration_is_parsed)
{
    auto const read = read_deployment(configuration);
    BOOST_REQUIRE(read);
    BOOST_TEST(read->version == 7u);
    BOOST_TEST((read->routes.at(0).kind == call_kind::continuable_stream));
    BOOST_TEST((read->routes.at(0).timeout == 12s));
    BOOST_TEST((read->routes.at(1).kind == call_kind::unsafe));
    BOOST_TEST(read->routes.at(1).services.size() == 2u);
    BOOST_TEST(read->services.at(0).engine->adapter_slots == 8u);
    BOOST_TEST(read->services.at(0).engine->models.at(0).name == "m");
    BOOST_TEST(!read->services.at(1).engine);
    BOOST_TEST((read->bounds.head_timeout == 3s));
    BOOST_TEST((read->bounds.idle_timeout == 15s));
}

BOOST_AUTO_TEST_CASE(an_invalid_configuration_is_rejected)
{
    for (auto const* text : {"", "[]", "{", R"({"version":"x"})", R"({"version":1})",
                             R"({"version":-1,"routes":[],"services":[]})"})
        BOOST_TEST(!read_deployment(text), text);
}

BOOST_AUTO_TEST_CASE(an_endpoint_entry_is_parsed)
{
    auto const read = read_endpoint(endpoint_item(
        R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":64,
            "state":"ready","coldLeftMs":0,"sequence":4,"born":17,"remainingMs":1500,
            "models":[{"name":"m","version":1,"adapters":["a3@2","a4@1"]}]})"));
    BOOST_REQUIRE(read);
    BOOST_TEST(read->name == "i-1");
    BOOST_TEST(read->address == "10.1.0.9");
    BOOST_TEST(read->port == 8080);
    BOOST_TEST(read->started_at_ms == 17u);
    BOOST_TEST(read->software_version == "v1");
    BOOST_TEST(read->models.at(0) == "m");
    BOOST_TEST(read->adapters.at(0).name == "m/a3");
    BOOST_TEST(read->adapters.at(0).version == 2u);
}

BOOST_AUTO_TEST_CASE(invalid_endpoint_entries_are_rejected)
{
    for (auto const* value :
         {"", "\xff\xfe", "[]", R"({"service":"s"})",
          R"({"service":5,"address":"10.1.0.9:1","zone":"z","state":"ready"})",
          R"({"service":"s","address":"10.1.0.9","zone":"z","state":"ready"})",
          R"({"service":"s","address":"10.1.0.9:99999","zone":"z","state":"ready"})",
          R"({"service":"s","address":"10.1.0.9:80","zone":"z","state":"odd"})"})
        BOOST_TEST(!read_endpoint(endpoint_item(value)), value);
}

// An odd entry of another writer was used in part, or ended what read it
BOOST_AUTO_TEST_CASE(entries_with_missing_or_odd_fields_name_no_endpoint)
{
    namespace json = boost::json;
    json::object const sound{{"service", "s"},    {"address", "10.1.0.9:8080"},
                             {"zone", "z"},       {"version", "v1"},
                             {"slots", 64},       {"state", "ready"},
                             {"coldLeftMs", 2.5}, {"sequence", 4},
                             {"born", 17}};
    auto const read = [](json::object const& entry)
    { return read_endpoint(endpoint_item(json::serialize(entry))); };
    BOOST_REQUIRE(read(sound).has_value());
    for (auto const* name : {"service", "address", "zone", "version", "slots", "state",
                             "coldLeftMs", "sequence"})
    {
        auto entry = sound;
        entry.erase(name);
        BOOST_TEST(!read(entry), name);
    }
    std::vector<std::pair<char const*, json::value>> const odd{
        {"address", "10.3.64.300:8088"},
        {"address", "host:80"},
        {"address", "10.1.0.9:0"},
        {"address", "10.1.0.9:65536"},
        {"address", "10.1.0.9:+80"},
        {"address", "::1:80"},
        {"version", 1},
        {"slots", "64"},
        {"slots", 0},
        {"slots", -1},
        {"slots", 4'294'967'296},
        {"slots", 1e300},
        {"slots", 2.5},
        {"born", "17"},
        {"born", -1},
        {"born", 1e30},
        {"born", 1.5},
        {"born", nullptr},
        {"sequence", true},
        {"coldLeftMs", "0"},
        {"coldLeftMs", -1},
        {"models", "m"},
        {"models", {1}},
        {"zone", json::array{}},
        {"state", 3}};
    for (auto const& [name, value] : odd)
    {
        auto entry = sound;
        entry[name] = value;
        BOOST_TEST(!read(entry), name << " " << json::serialize(value));
    }
}

BOOST_AUTO_TEST_CASE(entries_that_no_parser_can_take_name_no_endpoint)
{
    constexpr std::size_t depth = 200'000;
    std::string const entry =
        R"({"service":"s","address":"10.1.0.9:80","zone":"z","version":"v1","slots":6,)"
        R"("state":"ready","coldLeftMs":0,"sequence":1,"x":)";
    for (auto const& value :
         {std::string(depth, '['), std::string(depth, '[') + std::string(depth, ']'),
          std::string("1e999999999999999999999"), std::string(100'000, '9') + "e",
          std::string("\"\xff\""), std::string("\"\\ud800\"")})
        BOOST_TEST(!read_endpoint(endpoint_item(entry + value + "}")));
    // A number that no field uses does no harm
    BOOST_TEST(
        read_endpoint(endpoint_item(entry + std::string(400, '9') + "}")).has_value());
}

// The name of an entry is sent to endpoints in a header
BOOST_AUTO_TEST_CASE(an_entry_whose_name_does_not_fit_into_a_header_names_no_endpoint)
{
    std::string const value =
        R"({"service":"s","address":"10.1.0.9:80","zone":"z","version":"v1","slots":6,)"
        R"("state":"ready","coldLeftMs":0,"sequence":1})";
    auto const read = [&](std::string const& name)
    {
        return read_endpoint(
            {.key = "servers/" + name, .value = value, .position = {.revision = 5}});
    };
    BOOST_TEST(read("i-7f3a91c2").has_value());
    for (std::string const& name :
         {std::string("i\r\nX-Model: m"), std::string("i 1"), std::string("i\0", 2),
          std::string("i\x80"), std::string("a/b\n"), std::string()})
        BOOST_TEST(!read(name));
}

BOOST_AUTO_TEST_CASE(a_duration_that_no_clock_can_measure_is_none)
{
    boost::json::object const from{{"a", 1e300}, {"b", -1}, {"c", 1'500}, {"d", "1"}};
    BOOST_TEST(!duration_member<std::chrono::milliseconds>(from, "a"));
    BOOST_TEST(!duration_member<std::chrono::milliseconds>(from, "b"));
    BOOST_TEST((duration_member<std::chrono::milliseconds>(from, "c") == 1'500ms));
    BOOST_TEST(!duration_member<std::chrono::milliseconds>(from, "d"));
}

BOOST_AUTO_TEST_CASE(unreadable_items_of_a_page_are_left_out)
{
    auto const page = read_page(
        R"({"items":[{"key":"op/x","value":"aGk=","revision":4},{"key":"b","revision":"x"},
            {"key":"c","value":"***","revision":5},7],"truncated":true,"currentRev":9})",
        "items");
    BOOST_REQUIRE(page);
    BOOST_TEST(page->position.revision == 9u);
    BOOST_TEST(page->truncated);
    // The next page begins behind the last item, whether or not that one can be parsed
    BOOST_TEST(page->last_key == "c");
    BOOST_REQUIRE(page->items.size() == 1u);
    BOOST_TEST(page->items[0].value == "hi");
    auto const events = read_page(
        R"({"events":[{"key":"k","revision":3,"deleted":true}],"currentRev":3})",
        "events");
    BOOST_TEST(events->items.at(0).removed);
    BOOST_TEST(!read_page("{}", "items"));
}

BOOST_AUTO_TEST_CASE(corrupted_documents_do_not_crash_the_parsers)
{
    constexpr std::uint32_t seed = 11;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    for (int turn = 0; turn < 3'000; ++turn)
    {
        std::string text(configuration);
        for (int change = 0; change < 4; ++change)
            text[random() % text.size()] = static_cast<char>(random());
        read_deployment(text);
        read_page(text, "items");
        read_endpoint(endpoint_item(text));
        engine_client::parse_report(text);
    }
}

BOOST_AUTO_TEST_CASE(a_request_is_parsed)
{
    auto const routes = make_routes();
    time_point const now(1'000s);
    auto const read =
        request_dialect::read_request(make_message("/s/2f?x=1"), routes, now);
    auto const& request = std::get<serving::entry_request>(read);
    BOOST_TEST(request.caller_attempt_id == "9c41");
    BOOST_TEST(request.matched_route->name == "r1");
    BOOST_TEST(request.dispatch_call.model == "m");
    BOOST_TEST(request.dispatch_call.adapter == "m/a3");
    BOOST_TEST(request.dispatch_call.prompt_tokens == 1460u);
    BOOST_TEST(request.dispatch_call.output_tokens == 80u);
    BOOST_TEST(request.dispatch_call.parts.size() == 3u);
    BOOST_TEST(request.dispatch_call.parts.at(0).id == 0x5c1e07a2u);
    BOOST_TEST((request.dispatch_call.deadline == now + 4s));
    BOOST_TEST(request.last_event == 0u);
}

BOOST_AUTO_TEST_CASE(a_continued_stream_names_its_last_event_and_first_attempt)
{
    auto message = make_message("/s/2f");
    message.set("Last-Event-Id", "7");
    message.set("Resumes", "c877");
    auto const read =
        request_dialect::read_request(message, make_routes(), time_point(1'000s));
    auto const& request = std::get<serving::entry_request>(read);
    BOOST_TEST(request.last_event == 7u);
    BOOST_TEST(request.resumed_attempt == "c877");
}

BOOST_AUTO_TEST_CASE(an_unknown_route_is_reported_only_if_routes_are_known)
{
    time_point const now(1'000s);
    auto const kind =
        [&](std::string const& target, std::shared_ptr<route_table const> const& routes)
    {
        return std::get<error_kind>(
            request_dialect::read_request(make_message(target), routes, now));
    };
    BOOST_TEST((kind("/none/", make_routes()) == error_kind::no_such_route));
    BOOST_TEST((kind("/s/", nullptr) == error_kind::no_sheet));
    BOOST_TEST(answer_of(error_kind::no_sheet).http_status == 503u);
}

BOOST_AUTO_TEST_CASE(internal_headers_set_by_callers_are_removed)
{
    auto message = make_message("/s/2f");
    for (auto const* name : {"X-Queue-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From",
                             "X-Request-Priority", "X-Expect-Instance", "Connection"})
        message.set(name, "9");
    auto const sent = request_dialect::endpoint_message(
        message, {.name = "i-7"}, {.time_left = 1'234ms, .version = 3, .priority = 12});
    for (auto const* name : {"X-Queue-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From"})
        BOOST_TEST(sent.count(name) == 0u, name);
    BOOST_TEST(sent["X-Expect-Instance"] == "i-7");
    BOOST_TEST(sent["X-Deadline-Ms"] == "1234");
    BOOST_TEST(sent["X-Expect-Version"] == "3");
    BOOST_TEST(sent["X-Request-Priority"] == "9");
    BOOST_TEST(sent["X-Attempt-Id"] == "9c41");
    BOOST_TEST(sent["X-Prompt-Prefix"] == message["X-Prompt-Prefix"]);
    BOOST_TEST(body_of(sent) == message.body());
}

BOOST_AUTO_TEST_CASE(endpoint_response_heads_are_classified)
{
    struct example
    {
        serving::answer_reader::head head;
        endpoint_verdict verdict;
    };
    std::vector<example> const examples{
        {make_head(200, {{"X-Attempt-Id", "9c41"}, {"X-Server-Seal", "s"}}),
         endpoint_verdict::success},
        {make_head(500, {{"X-Attempt-Id", "9c41"}, {"X-Server-Seal", "s"}}),
         endpoint_verdict::failure},
        {make_head(200, {{"X-Attempt-Id", "other"}, {"X-Server-Seal", "s"}}),
         endpoint_verdict::other_request},
        {make_head(200, {{"X-Attempt-Id", "9c41"}}), endpoint_verdict::garbled},
        {make_head(503, {{"X-Not-Executed", "1"}}), endpoint_verdict::refused},
        {make_head(503, {}), endpoint_verdict::garbled},
        {make_head(421, {{"X-Instance-Id", "i-9"}}), endpoint_verdict::another_instance},
        {make_head(421, {{"X-Instance-Id", "i-7"}}), endpoint_verdict::adapter_missing},
    };
    for (auto const& each : examples)
        BOOST_TEST((request_dialect::classify_answer(each.head, "9c41", "i-7", false) ==
                    each.verdict));
    // Without an identifier it may be the answer to an earlier request
    for (auto const& [status, field] :
         {std::pair{503, "X-Not-Executed"}, std::pair{421, "X-Instance-Id"}})
        BOOST_TEST(
            (request_dialect::classify_answer(make_head(status, {{field, "i-7"}}), "9c41",
                                              "i-7", true) == endpoint_verdict::garbled));
}

BOOST_AUTO_TEST_CASE(a_rate_limit_is_a_finite_decimal_number)
{
    using state = serving::named_rate_limit::field_state;
    BOOST_TEST((request_dialect::rate_limit(make_head(200, {})).state == state::absent));
    for (auto const& [text, rate] :
         {std::pair{"1", 1.0}, std::pair{"2.50", 2.5}, std::pair{"0", 0.0}})
    {
        auto const read =
            request_dialect::rate_limit(make_head(200, {{"Server-Limit", text}}));
        BOOST_TEST((read.state == state::valid));
        BOOST_TEST(read.rate == rate);
    }
    for (auto const* text : {"-1", "nan", "inf", "1e3", "1 per second", "x"})
        BOOST_TEST((
            request_dialect::rate_limit(make_head(200, {{"Server-Limit", text}})).state ==
            state::invalid));
}

BOOST_AUTO_TEST_CASE(a_request_is_passed_on_like_its_caller_sent_it)
{
    serving::caller_message message(boost::beast::http::verb::post, "/p/x", 11);
    message.set("Host", "a.example");
    message.set("X-Attempt-Id", "9c41");
    message.set("X-Deadline-Ms", "5000");
    message.set("Connection", "close");
    message.body() = "body";
    auto const passed =
        request_dialect::forwarded_message(message, {.time_left = 1'234ms});
    BOOST_TEST(passed["Host"] == "a.example");
    BOOST_TEST(passed["X-Attempt-Id"] == "9c41");
    BOOST_TEST(passed["X-Deadline-Ms"] == "1234");
    BOOST_TEST(body_of(passed) == "body");
    BOOST_TEST(passed["Connection"].empty());
    BOOST_TEST(passed["Resumes"].empty());
    BOOST_TEST(passed["X-Expect-Instance"].empty());

    // A stream of the caller keeps its own origin
    message.set("Last-Event-Id", "3");
    message.set("Resumes", "77aa");
    auto const continued =
        request_dialect::forwarded_message(message, {.time_left = 1s, .last_event = 5});
    BOOST_TEST(continued["Last-Event-Id"] == "5");
    BOOST_TEST(continued["Resumes"] == "77aa");
}

BOOST_AUTO_TEST_CASE(error_answers_carry_retry_after_and_status)
{
    auto const answer = request_dialect::error_answer(
        {.kind = error_kind::no_endpoint, .message = {}, .retry_after = 1'250ms}, "9c41");
    BOOST_TEST(answer.result_int() == 503u);
    BOOST_TEST(answer["Retry-After"] == "1.25");
    BOOST_TEST(answer["X-Attempt-Id"] == "9c41");
    BOOST_TEST(answer.count("X-Server-Seal") == 0u);

    // 502 where the request may have run, 503 where it did not run
    BOOST_TEST(request_dialect::error_answer({.kind = error_kind::endpoint_lost}, "")
                   .result_int() == 502u);
    BOOST_TEST(request_dialect::error_answer({.kind = error_kind::quarantined}, "")
                   .result_int() == 503u);
}

BOOST_AUTO_TEST_CASE(orders_and_reports_use_the_format_of_engines)
{
    boost::asio::io_context loop;
    serving::connection_pool pool(loop.get_executor(), {});
    engine_client const client(pool, "h1");
    auto const body =
        boost::json::parse(client.order_body({.kind = order_kind::load_adapter,
                                              .model = "m",
                                              .adapter = "m/a3",
                                              .version = 2,
                                              .fencing_number = 41}));
    BOOST_TEST(body.at("operation").as_string() == "load");
    BOOST_TEST(body.at("model").as_string() == "m");
    BOOST_TEST(body.at("adapter").as_string() == "a3");
    BOOST_TEST(body.at("holder").as_string() == "h1");
    BOOST_TEST(body.at("fencingToken").to_number<int>() == 41);

    auto const report = engine_client::parse_report(
        R"({"stage":"combined","models":[{"name":"m","version":1,"adapters":["a3@2"]}],
            "busy":true,"sequence":2,"born":17,"pending":["m/a4@1"]})");
    BOOST_REQUIRE(report);
    BOOST_TEST(report->is_loading_model);
    BOOST_TEST(report->started_at_ms == 17u);
    BOOST_TEST(report->adapters.at(0).name == "m/a3");
    BOOST_TEST(report->loading_adapters.at(0).name == "m/a4");
}

BOOST_AUTO_TEST_CASE(the_prompt_parts_that_an_engine_keeps_are_parsed)
{
    auto const parts = engine_client::parse_kept_parts(
        R"({"epoch":"e","next":9,"held":[["","5c1e07a2",800,"m"],["","b2",7,"m/a3"]]})");
    BOOST_REQUIRE(parts.has_value());
    BOOST_TEST(parts->size() == 2U);
    BOOST_TEST(parts->contains(0x5c1e07a2));
    BOOST_TEST(parts->contains(0xb2));
    BOOST_TEST(engine_client::parse_kept_parts(R"({"held":[]})")->empty());

    // A list that cannot be read whole proves nothing
    for (auto const* text :
         {"", "{}", R"({"held":7})", R"({"held":[["","b2",7,"m"],["",7]]})",
          R"({"held":[["","b2x",7,"m"]]})", R"({"held":[["",""]]})", R"({"held":[[]]})"})
        BOOST_TEST(!engine_client::parse_kept_parts(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
