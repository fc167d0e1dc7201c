#include <serving/caller/caller_listener.hpp>
#include <serving/caller/caller_session.hpp>
#include <serving/node/service_request.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <deque>

using namespace marjorampath;
using namespace marjorampath::serving;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

// An endpoint that answers each request with the next scripted text and then closes the
// connection
class scripted_endpoint
{
public:
    scripted_endpoint(asio::io_context& loop, std::deque<std::string> answers)
        : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}),
          answers_(std::move(answers))
    {
        asio::co_spawn(loop, serve(), asio::detached);
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

    // Requests received so far
    std::vector<caller_message> requests;

private:
    asio::awaitable<void> serve()
    {
        while (!answers_.empty())
        {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            boost::beast::flat_buffer buffer;
            caller_message message;
            co_await http::async_read(socket, buffer, message, asio::use_awaitable);
            requests.push_back(message);
            auto const answer = answers_.front();
            answers_.pop_front();
            co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
        }
        acceptor_.close();
    }

    tcp::acceptor acceptor_;
    // Remaining scripted answers
    std::deque<std::string> answers_;
};

// The objects of one traffic thread, which forwards requests to a scripted endpoint; all
// on one event loop
class exchange_fixture
{
public:
    explicit exchange_fixture(std::deque<std::string> answers)
        : endpoint(loop, std::move(answers)), listener_(context_.callers)
    {
        directory_entry const entry{.id = endpoint_id::of("e"),
                                    .name = "e",
                                    .address = endpoint.address(),
                                    .kind = endpoint_kind_id::of("engine"),
                                    .zone = {}};
        context_.view.endpoints =
            std::make_shared<directory const>(directory{{entry.id, entry}});
        context_.view.sheet_in_force = make_sheet();
        BOOST_REQUIRE(!listener_.listen({asio::ip::address_v4::loopback(), 0}));
        listener_.start();
    }

    // Sends a request and reads the answer; sets `error` if the answer is truncated
    http::response<http::string_body> send_request(caller_message message)
    {
        http::response_parser<http::string_body> parser;
        bool done = false;
        asio::co_spawn(loop, exchange(std::move(message), parser),
                       [&](std::exception_ptr const&) { done = true; });
        auto const deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done && std::chrono::steady_clock::now() < deadline)
            loop.run_one_for(std::chrono::milliseconds(100));
        BOOST_REQUIRE(done);

        // Grant releases are posted after the answer
        loop.poll();
        return parser.get();
    }

    // Gives the callers' connections a budget all of which, but for some bytes, another
    // connection has reserved
    void fill_budget(std::size_t left = 0)
    {
        constexpr std::size_t bytes = 100'000;
        context_.callers.limits.max_body_bytes = bytes;
        auto const resources = std::make_shared<host_resources>(
            loop, resource_budget_options{
                      .limits = {.message_bytes = bytes,
                                 .host_message_bytes = bytes,
                                 .connection_message_bytes = bytes,
                                 .connections = {places, places, places, places}},
                      .max_wait = std::chrono::milliseconds(1)});
        auto const other = resources->open(connection_class::callers, nullptr);
        resources->budget().on_working(other.connection, {});
        BOOST_REQUIRE(
            (resources->reserve(other.connection, bytes - left) == reservation::made));
        context_.callers.resources = resources;
    }

    // Event loop of all objects
    asio::io_context loop;
    scripted_endpoint endpoint;
    // Error of reading the last answer
    error_code error;
    // Number of grant requests to accept; later ones are refused
    std::size_t grants_left = 10;
    // Reasons of the released grants, in order
    std::vector<release_reason> releases;

private:
    // Connections of each class in a budget
    static constexpr std::size_t places = 8;

    static std::shared_ptr<sheet const> make_sheet()
    {
        sheet_tables tables{.number = 1};
        auto const kind = endpoint_kind_id::of("engine");
        auto const deadline = std::chrono::seconds(20);
        tables.services = {{.id = service_id::of("m"),
                            .name = "m",
                            .kind = service_kind::model,
                            .endpoints = kind,
                            .team = {},
                            .team_name = "t",
                            .deadline = deadline},
                           {.id = service_id::of("p"),
                            .name = "p",
                            .kind = service_kind::plain,
                            .endpoints = kind,
                            .team = {},
                            .team_name = "t",
                            .deadline = deadline}};
        tables.adapters = {{.service = service_id::of("m"),
                            .adapter = adapter_id::of("a"),
                            .id = adapter_version_id::of("a@1"),
                            .adapter_name = "a",
                            .version = "1"}};
        tables.non_idempotent = {
            {.service = service_id::of("p"), .method = "POST", .path = "/bids"}};
        return std::make_shared<sheet const>(std::move(tables));
    }

    asio::awaitable<void> exchange(caller_message message,
                                   http::response_parser<http::string_body>& parser)
    {
        tcp::socket socket(loop);
        co_await socket.async_connect(listener_.address(), asio::use_awaitable);
        message.prepare_payload();
        co_await http::async_write(socket, message, asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        co_await http::async_read(socket, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    }

    void grant(grant_request const& request, grant_callback const& answer)
    {
        if (grants_left == 0)
            return answer(refuse_action{.request = request.request,
                                        .entry = {},
                                        .reason = error_kind::no_endpoint});
        --grants_left;
        answer(grant_action{
            .request = request.request, .entry = {}, .endpoint = endpoint_id::of("e")});
    }

    // Answers grant requests and records releases
    grant_service service_{
        .request = [this](grant_request const& request, grant_callback const& answer)
        { grant(request, answer); },
        .release = [this](release_report const& report)
        { releases.push_back(report.reason); },
        .withdraw = [](request_id) {}};
    // Shared objects of the traffic thread
    traffic_context context_{
        .callers = {.loop = loop,
                    .limits = {.max_head_bytes = 2'048, .max_body_bytes = 4'096},
                    .handle_request =
                        [this](caller_session& session, caller_message const& message)
                    { return answer_service_request(context_, session, message); }},
        .host = host_id::of("h"),
        .grants = grant_client(loop, loop, service_),
        .connections = connection_pool(loop.get_executor(), {}),
        .view = {}};
    // Accepts the callers' connections
    caller_listener listener_;
};

caller_message make_completion_request(bool streamed)
{
    caller_message message(http::verb::post, "/m/v1/completions", 11);
    message.body() =
        fmt::format(R"({{"model":"a","prompt":"p:","stream":{}}})", streamed);
    return message;
}

caller_message make_plain_request(http::verb method)
{
    caller_message message(method, "/services/p/bids", 11);
    message.body() = "9";
    return message;
}

std::string make_events(unsigned first, unsigned last)
{
    std::string text;
    for (auto id = first; id <= last; ++id)
        text += fmt::format("id: {}\ndata: {{\"choices\":[{{\"text\":\"{}\"}}]}}\n\n", id,
                            static_cast<char>('a' + id - 1));
    return text;
}

std::string make_stream_answer(std::string const& text)
{
    return fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "{:x}\r\n{}\r\n",
                       text.size(), text);
}

std::string make_whole_answer(unsigned status, std::string_view fields,
                              std::string_view body)
{
    return fmt::format("HTTP/1.1 {} X\r\nConnection: close\r\n{}Content-Length: "
                       "{}\r\n\r\n{}",
                       status, fields, body.size(), body);
}

std::string const done_event = "data: [DONE]\n\n";
std::string const last_chunk = "0\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_test)

BOOST_AUTO_TEST_CASE(an_interrupted_stream_is_resumed_where_it_stopped)
{
    exchange_fixture fixture(
        {make_stream_answer(make_events(1, 2)),
         make_stream_answer(make_events(2, 3) + done_event) + last_chunk});
    auto const answer = fixture.send_request(make_completion_request(true));
    BOOST_TEST(!fixture.error);
    BOOST_TEST(answer.body() == make_events(1, 3) + done_event);
    BOOST_REQUIRE(fixture.endpoint.requests.size() == 2u);
    BOOST_TEST(fixture.endpoint.requests[1]["Last-Event-ID"] == "2");
    BOOST_TEST(fixture.endpoint.requests[1]["X-Request-Id"] ==
               fixture.endpoint.requests[0]["X-Request-Id"]);
    BOOST_TEST(fixture.releases.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_be_resumed_is_restarted_after_its_text)
{
    exchange_fixture fixture(
        {make_stream_answer(make_events(1, 2)), make_whole_answer(409, "", "{}"),
         make_stream_answer(make_events(1, 1) + done_event) + last_chunk});
    auto const answer = fixture.send_request(make_completion_request(true));
    BOOST_TEST(!fixture.error);
    BOOST_REQUIRE(fixture.endpoint.requests.size() == 3u);
    BOOST_TEST(fixture.endpoint.requests[2].body().find("\"p:ab\"") != std::string::npos);
    BOOST_TEST(answer.body().find("id: 3\n") != std::string::npos);
    BOOST_TEST(answer.body().ends_with(done_event));
}

BOOST_AUTO_TEST_CASE(an_abandoned_stream_never_looks_complete)
{
    exchange_fixture fixture(
        {make_stream_answer(make_events(1, 2)), make_whole_answer(409, "", "{}")});
    fixture.grants_left = 1;
    auto const answer = fixture.send_request(make_completion_request(true));
    BOOST_TEST((fixture.error == http::error::partial_message));
    BOOST_TEST(answer.body().find(done_event) == std::string::npos);
    BOOST_TEST(answer.body().find("event: error") != std::string::npos);
    BOOST_TEST(answer.body().find("\"outcome\":\"unknown\"") != std::string::npos);
}

// The text of an error stood among the events of a stream
BOOST_AUTO_TEST_CASE(no_byte_of_an_error_enters_a_stream_that_has_begun)
{
    std::string const body = "{\"error\":\n\n{\"message\":\"no room\"}}\n\n";
    std::string const json = "Content-Type: application/json\r\n";
    std::vector<std::string> const errors{
        make_whole_answer(500, json, body),
        "HTTP/1.1 500 X\r\n" + json + "\r\n" + body,
        make_whole_answer(200, json, body),
        "HTTP/1.1 200 X\r\n" + json + "\r\n" + body,
        make_stream_answer(body) + last_chunk,
        make_whole_answer(500, json, body).substr(0, 12),
        body};
    for (auto const& error : errors)
        for (auto const restarted : {false, true})
        {
            std::deque<std::string> answers{make_stream_answer(make_events(1, 2)), error};
            if (restarted)
                answers.insert(answers.begin() + 1, make_whole_answer(409, "", "{}"));
            exchange_fixture fixture(std::move(answers));
            auto const answer = fixture.send_request(make_completion_request(true));
            BOOST_TEST((fixture.error == http::error::partial_message), error);
            auto const end = answer.body().find("event: error");
            BOOST_TEST(answer.body().substr(0, end) == make_events(1, 2));
            BOOST_TEST(answer.body().find("no room") == std::string::npos);
        }
}

BOOST_AUTO_TEST_CASE(a_request_is_retried_if_its_adapter_is_missing)
{
    exchange_fixture fixture(
        {make_whole_answer(404, "", "{}"), make_whole_answer(200, "", "{\"x\":1}")});
    auto const answer = fixture.send_request(make_completion_request(false));
    BOOST_TEST(answer.body() == "{\"x\":1}");
    BOOST_TEST((fixture.releases ==
                std::vector{release_reason::adapter_missing, release_reason::finished}));
    BOOST_TEST(fixture.endpoint.requests[0].body().find("a@1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_is_retried_if_its_answer_is_truncated)
{
    auto cut = make_whole_answer(200, "", "{\"x\":1}");
    cut.resize(cut.size() - 2);
    exchange_fixture fixture({cut, make_whole_answer(200, "", "{\"x\":1}")});
    BOOST_TEST(fixture.send_request(make_completion_request(false)).body() ==
               "{\"x\":1}");
}

// Elsewhere callers got a success with an empty body, framed as whole
BOOST_AUTO_TEST_CASE(an_answer_that_is_cut_in_its_head_never_looks_whole)
{
    std::vector<caller_message> const requests{make_completion_request(false),
                                               make_completion_request(true),
                                               make_plain_request(http::verb::post)};
    std::vector<std::string> const answers{
        make_whole_answer(200, "", "{\"x\":1}"), "HTTP/1.1 200 X\r\nA: b\r\n\r\nwhole",
        make_stream_answer(make_events(1, 2) + done_event) + last_chunk};
    for (auto const& request : requests)
        for (auto const& whole : answers)
            for (std::size_t size = 1; size < whole.find("\r\n\r\n") + 4; ++size)
            {
                exchange_fixture fixture({whole.substr(0, size)});
                fixture.grants_left = 1;
                auto const answer = fixture.send_request(request);
                BOOST_TEST(answer.result_int() >= 500U, whole.substr(0, size));
                BOOST_TEST(answer["X-Outcome"] == "unknown", whole.substr(0, size));
            }
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_written_once)
{
    exchange_fixture fixture({"", make_whole_answer(200, "", "again")});
    auto const answer = fixture.send_request(make_plain_request(http::verb::post));
    BOOST_TEST(answer["X-Error-Kind"] == "endpoint-lost");
    BOOST_TEST(answer["X-Outcome"] == "unknown");
    BOOST_TEST(fixture.endpoint.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_repeated)
{
    exchange_fixture fixture({"", make_whole_answer(200, "", "again")});
    BOOST_TEST(fixture.send_request(make_plain_request(http::verb::put)).body() ==
               "again");
    BOOST_TEST(fixture.endpoint.requests.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_request_refused_by_a_draining_endpoint_counts_as_not_run)
{
    exchange_fixture fixture({make_whole_answer(503, "X-Draining: 1\r\n", "")});
    fixture.grants_left = 1;
    auto const answer = fixture.send_request(make_plain_request(http::verb::post));
    BOOST_TEST(answer["X-Error-Kind"] == "no-endpoint");
    BOOST_TEST(answer["X-Outcome"] == "not-run");
    BOOST_TEST((fixture.releases == std::vector{release_reason::refused}));
}

BOOST_AUTO_TEST_CASE(a_plain_answer_passes_unchanged)
{
    exchange_fixture fixture({make_whole_answer(418, "X-Own: 1\r\n", "body")});
    auto const answer = fixture.send_request(make_plain_request(http::verb::post));
    BOOST_TEST(answer.result_int() == 418u);
    BOOST_TEST(answer["X-Own"] == "1");
    BOOST_TEST(answer.body() == "body");
    BOOST_TEST(fixture.endpoint.requests[0].body() == "9");
    BOOST_TEST(fixture.endpoint.requests[0].target() == "/bids");
}

BOOST_AUTO_TEST_CASE(oversized_requests_are_refused)
{
    exchange_fixture fixture({});
    auto message = make_completion_request(false);
    message.body() = std::string(5'000, ' ');
    BOOST_TEST(fixture.send_request(message)["X-Error-Kind"] == "body-too-large");
    message = make_completion_request(false);
    message.set("X-Long", std::string(3'000, 'x'));
    BOOST_TEST(fixture.send_request(message)["X-Error-Kind"] == "head-too-large");
}

// Requests and answers took memory of which nobody had an account
BOOST_AUTO_TEST_CASE(a_request_whose_copy_finds_no_memory_is_refused_as_not_run)
{
    for (auto* const make : {+[] { return make_completion_request(false); },
                             +[] { return make_plain_request(http::verb::post); }})
    {
        exchange_fixture fixture({make_whole_answer(200, "", "{}")});
        fixture.fill_budget(70'000);
        auto message = make();
        message.body() += std::string(40'000, ' ');
        auto const answer = fixture.send_request(std::move(message));
        BOOST_TEST(answer.result_int() == 503u);
        BOOST_TEST(answer["X-Outcome"] == "not-run");
        BOOST_TEST(answer["Retry-After"] == "1");
        BOOST_TEST(fixture.endpoint.requests.empty());
    }
}

BOOST_AUTO_TEST_CASE(a_whole_answer_without_memory_is_not_read)
{
    exchange_fixture fixture({make_whole_answer(200, "", std::string(20'000, 'a'))});
    fixture.fill_budget();
    auto const answer = fixture.send_request(make_completion_request(false));
    BOOST_TEST(answer.result_int() == 502u);
    BOOST_TEST(answer["X-Outcome"] == "unknown");
    BOOST_TEST(fixture.endpoint.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_short_answer_without_memory_is_forwarded_as_it_comes)
{
    std::string const body(20'000, 'a');
    exchange_fixture fixture({make_whole_answer(200, "", body)});
    fixture.fill_budget();
    auto const answer = fixture.send_request(make_plain_request(http::verb::get));
    BOOST_TEST(answer.result_int() == 200u);
    BOOST_TEST(answer.body() == body);
}

BOOST_AUTO_TEST_CASE(a_stream_without_memory_for_its_text_goes_on)
{
    std::string events;
    for (unsigned id = 1; id <= 20; ++id)
        events += fmt::format("id: {}\ndata: {{\"choices\":[{{\"text\":\"{}\"}}]}}\n\n",
                              id, std::string(1'000, 'a'));
    exchange_fixture fixture({make_stream_answer(events + done_event) + last_chunk});
    fixture.fill_budget();
    auto const answer = fixture.send_request(make_completion_request(true));
    BOOST_TEST(!fixture.error);
    BOOST_TEST(answer.body() == events + done_event);
}

BOOST_AUTO_TEST_SUITE_END()
