#include <marjorampath/peer/peer_table.hpp>
#include <serving/caller/caller_listener.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/entry/entry_exchange.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <deque>
#include <memory>
#include <platform/request_dialect.hpp>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::serving;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

// How a scripted server answers one request
struct scripted_answer
{
    // Bytes to send
    std::string text;
    // Whether the connection is closed after them; else the server stays silent
    bool closes = true;
    // Bytes that follow again and again until the other side closes
    std::string endless = {};
    // Pause between these
    duration pause{0};
};

// An endpoint that answers each request with the next answer of a script
class scripted_server
{
public:
    scripted_server(asio::io_context& loop, std::deque<scripted_answer> answers)
        : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}),
          answers_(std::move(answers))
    {
        asio::co_spawn(loop, accept(), asio::detached);
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

    // Requests received
    std::vector<caller_message> requests;
    // Connections that the other side closed while the server was silent
    int abandoned = 0;

private:
    asio::awaitable<void> accept()
    {
        while (true)
            asio::co_spawn(acceptor_.get_executor(),
                           serve(co_await acceptor_.async_accept(asio::use_awaitable)),
                           asio::detached);
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        error_code error;
        while (!answers_.empty())
        {
            caller_message request;
            co_await http::async_read(socket, buffer, request,
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            requests.push_back(request);
            auto const answer = answers_.front();
            answers_.pop_front();
            co_await asio::async_write(socket, asio::buffer(answer.text),
                                       asio::redirect_error(asio::use_awaitable, error));
            while (!answer.endless.empty() && !error)
            {
                co_await asio::async_write(
                    socket, asio::buffer(answer.endless),
                    asio::redirect_error(asio::use_awaitable, error));
                asio::steady_timer timer(socket.get_executor(), answer.pause);
                co_await timer.async_wait(asio::use_awaitable);
            }
            if (answer.closes)
                co_return;
            if (!answer.text.empty())
                continue;
            char byte = 0;
            co_await socket.async_read_some(
                asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, error));
            abandoned += error ? 1 : 0;
            co_return;
        }
    }

    tcp::acceptor acceptor_;
    std::deque<scripted_answer> answers_;
};

std::string sealed(std::string const& body, std::string const& more = {},
                   std::string const& id = "9c41")
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\n"
                       "Content-Length: {}\r\n{}\r\n{}",
                       id, body.size(), more, body);
}

std::string chunk(std::string const& text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

std::string stream_head()
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string events(unsigned first, unsigned last)
{
    std::string text;
    for (auto id = first; id <= last; ++id)
        text += fmt::format("id: {}\ndata: {}\n\n", id, id);
    return text;
}

std::string const refused = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n";

// An entry host with two endpoints of a plain service
struct entry_fixture
{
    entry_fixture(std::deque<scripted_answer> first, std::deque<scripted_answer> second)
        : servers{std::make_unique<scripted_server>(loop, std::move(first)),
                  std::make_unique<scripted_server>(loop, std::move(second))}
    {
        auto routes = std::make_shared<deployment>();
        auto const add = [&](char const* prefix, call_kind kind)
        {
            routes->routes.push_back(
                {.name = prefix,
                 .host = "a.example",
                 .prefix = prefix,
                 .kind = kind,
                 .timeout = 3s,
                 .objective = 1s,
                 .max_attempts = is_idempotent(kind) ? 2U : 1U,
                 .services = {{.service = service_id::of("s"), .weight = 1}}});
        };
        add("/safe/", call_kind::safe);
        add("/unsafe/", call_kind::unsafe);
        add("/stream/", call_kind::stream);
        add("/resumable/", call_kind::continuable_stream);
        routes->services.push_back({.id = service_id::of("s"), .name = "s"});
        context.routes = std::make_shared<route_table const>(routes);
        context.budgets.emplace(service_id::of("s"), retry_budget({}));
        for (std::size_t index = 0; index < servers.size(); ++index)
        {
            // The first one is preferred because it is in the host's zone
            auto const name = fmt::format("i-{}", index);
            context.dispatch.on_endpoint(
                {.change = endpoint_change::appeared,
                 .endpoint = {.id = endpoint_id::of(name),
                              .name = name,
                              .started_at_ms = 1,
                              .service = service_id::of("s"),
                              .address = "127.0.0.1",
                              .port = servers[index]->address().port(),
                              .zone = zone_id::of(index == 0 ? "z" : "y"),
                              .slots = 6}},
                boot_now());
        }
        listener.listen({asio::ip::address_v4::loopback(), 0});
        listener.start();
    }

    // The origin of a stream, or nothing if other hosts are asked
    std::optional<std::string> find_stream(stream_id stream, std::uint64_t number)
    {
        auto const found = origins.find(stream);
        if (found == origins.end())
            return std::nullopt;
        if (!origins_are_remote)
            return found->second;
        asio::post(loop,
                   [this, number, version = found->second] {
                       context.origin_replies.deliver(
                           {.number = number, .software_version = version});
                   });
        return std::nullopt;
    }

    // Announces a software version of one of the endpoints
    void set_software_version(std::size_t index, std::string const& version)
    {
        auto const name = fmt::format("i-{}", index);
        auto announced = context.dispatch.find(endpoint_id::of(name))->announced;
        announced.software_version = version;
        context.dispatch.on_endpoint(
            {.change = endpoint_change::updated, .endpoint = announced}, boot_now());
    }

    // Sends a request and reads until the connection ends; returns what was read
    std::string
    send_request(http::verb method, std::string const& path,
                 std::vector<std::pair<char const*, char const*>> const& more = {})
    {
        std::string answer;
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void>
            {
                tcp::socket socket(loop);
                co_await socket.async_connect(listener.address(), asio::use_awaitable);
                caller_message message(method, path, 11);
                message.set("Host", "a.example");
                message.set("X-Attempt-Id", "9c41");
                message.set("X-Deadline-Ms", "2000");
                for (auto const& [name, value] : more)
                    message.set(name, value);
                message.keep_alive(false);
                message.prepare_payload();
                co_await http::async_write(socket, message, asio::use_awaitable);
                error_code error;
                std::array<char, 4'096> bytes{};
                while (!error)
                {
                    auto const size = co_await socket.async_read_some(
                        asio::buffer(bytes),
                        asio::redirect_error(asio::use_awaitable, error));
                    answer.append(bytes.data(), size);
                }
                done = true;
            },
            asio::detached);
        run_until([&] { return done; });
        return answer;
    }

    // Runs the loop until a condition holds, ten seconds at most
    template <class Condition>
    void run_until(Condition condition)
    {
        auto const end = boot_now() + 10s;
        while (!condition() && boot_now() < end)
            loop.run_one_for(100ms);
        BOOST_TEST(condition());
    }

    [[nodiscard]] std::size_t sends() const
    {
        return servers[0]->requests.size() + servers[1]->requests.size();
    }

    asio::io_context loop;
    bool done = false;
    // Origins of streams, and whether another host knows them
    std::map<stream_id, std::string> origins;
    bool origins_are_remote = false;
    // Streams whose answers have ended
    std::vector<stream_id> ended;
    std::optional<std::string> only_software_version;
    std::array<std::unique_ptr<scripted_server>, 2> servers;
    metrics_registry metrics;
    peer_table peers{{.host = host_id::of("h")}, {}, {}};
    entry_context context{
        .callers = {.loop = loop,
                    .limits = {},
                    .handle_request =
                        [this](caller_session& session, caller_message const& message)
                    {
                        return [](entry_context& shared, caller_session& caller,
                                  caller_message const& request) -> asio::awaitable<void>
                        {
                            entry_exchange<platform::request_dialect> exchange(
                                shared, caller, request);
                            co_await exchange.run();
                        }(context, session, message);
                    }},
        .times = {},
        .routes = nullptr,
        .dispatch = dispatcher(zone_id::of("z"), {}),
        .connections = connection_pool(loop.get_executor(), {}),
        .budgets = {},
        .suspects = suspect_registry({}),
        .rate_limits = rate_limit_coordinator(host_id::of("h"), {}),
        .lost = {},
        .metrics = {metrics.make_shard()},
        .request_load = [](proposed_load const&) {},
        .request_permit =
            [this](endpoint_id endpoint, std::uint64_t number)
        {
            auto const step =
                context.rate_limits.request_permit(endpoint, peers, boot_now());
            return std::optional<permit_reply>(
                {.number = number, .granted = step.granted, .wait = step.wait});
        },
        .report_rate_limit = [](rate_limit_notice const&) {},
        .remember_stream = [this](stream_origin const& origin)
        { origins[origin.stream] = origin.software_version; },
        .forget_open_stream = [this](stream_id stream) { ended.push_back(stream); },
        .find_stream = [this](stream_id stream, std::uint64_t number)
        { return find_stream(stream, number); },
        .only_software_version = [this](service_id) { return only_software_version; },
        .host_count = [] { return std::size_t{1}; },
        .adapter_waiters = {}};
    caller_listener listener{context.callers};
};

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_exchanges)

BOOST_AUTO_TEST_CASE(an_answer_is_forwarded_unchanged)
{
    entry_fixture entry({{sealed("whole", "X-More: 1\r\n")}}, {});
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(contains(answer, "X-Server-Seal: s"));
    BOOST_TEST(contains(answer, "X-More: 1"));
    BOOST_TEST(answer.ends_with("whole"));
    BOOST_TEST(entry.servers[0]->requests.at(0)["X-Expect-Instance"] == "i-0");
}

BOOST_AUTO_TEST_CASE(
    a_request_that_may_have_run_is_not_sent_again_nor_reported_as_not_run)
{
    entry_fixture entry({{""}}, {{sealed("second")}});
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    BOOST_TEST(contains(answer, "X-Outcome: unknown"));
    BOOST_TEST(entry.sends() == 1u);
}

BOOST_AUTO_TEST_CASE(a_refused_request_is_sent_to_another_endpoint)
{
    entry_fixture entry({{refused}}, {{sealed("second")}});
    BOOST_TEST(entry.send_request(http::verb::post, "/unsafe/x").ends_with("second"));
    BOOST_TEST(entry.sends() == 2u);
}

BOOST_AUTO_TEST_CASE(a_request_that_every_endpoint_refused_is_reported_as_not_run)
{
    entry_fixture entry({{refused}}, {{refused}});
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(contains(answer, "X-Outcome: not-run"));
    BOOST_TEST(contains(answer, "Retry-After: "));
}

BOOST_AUTO_TEST_CASE(a_safe_request_with_a_cut_answer_is_sent_to_another_endpoint)
{
    auto cut = sealed("whole");
    cut.resize(cut.size() - 2);
    entry_fixture entry({{cut}}, {{sealed("second")}});
    BOOST_TEST(entry.send_request(http::verb::get, "/safe/x").ends_with("second"));
}

BOOST_AUTO_TEST_CASE(an_endpoints_failure_is_forwarded_if_every_attempt_fails)
{
    auto const failure = "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: 9c41\r\n"
                         "X-Server-Seal: s\r\nContent-Length: 3\r\n\r\nbad";
    entry_fixture entry({{failure}}, {{failure}});
    auto const answer = entry.send_request(http::verb::get, "/safe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 500"));
    BOOST_TEST(contains(answer, "X-Server-Seal: s"));
    BOOST_TEST(entry.sends() == 2u);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_skipped)
{
    entry_fixture entry({{sealed("foreign", {}, "other") + sealed("mine")}}, {});
    BOOST_TEST(entry.send_request(http::verb::post, "/unsafe/x").ends_with("mine"));
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_seal_is_rejected)
{
    entry_fixture entry(
        {{"HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nContent-Length: 1\r\n\r\nx"}}, {});
    BOOST_TEST(
        entry.send_request(http::verb::post, "/unsafe/x").starts_with("HTTP/1.1 502"));
}

BOOST_AUTO_TEST_CASE(a_broken_stream_never_looks_complete)
{
    entry_fixture entry({{stream_head() + chunk(events(1, 2) + "id: 3\nda")}},
                        {{stream_head() + chunk(events(1, 3)) + "0\r\n\r\n"}});
    auto const answer = entry.send_request(http::verb::post, "/stream/x");
    BOOST_TEST(contains(answer, "data: 2"));
    BOOST_TEST(!contains(answer, "id: 3"));
    BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
    BOOST_TEST(entry.sends() == 1u);
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_continues_after_the_last_whole_event)
{
    entry_fixture entry({{stream_head() + chunk(events(1, 2) + "id: 3\nda")}},
                        {{stream_head() + chunk(events(3, 4)) + "0\r\n\r\n"}});
    auto const answer = entry.send_request(http::verb::post, "/resumable/x");
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
    for (unsigned id = 1; id <= 4; ++id)
        BOOST_TEST(contains(answer, fmt::format("id: {}\ndata: {}\n\n", id, id)));
    BOOST_TEST(entry.servers[1]->requests.at(0)["Last-Event-Id"] == "2");
}

// The other endpoint continued the stream, although what it writes does not fit
BOOST_AUTO_TEST_CASE(a_stream_is_not_continued_by_another_software_version)
{
    entry_fixture entry({{stream_head() + chunk(events(1, 2))}},
                        {{stream_head() + chunk(events(3, 4)) + "0\r\n\r\n"}});
    entry.set_software_version(0, "v1");
    entry.set_software_version(1, "v2");
    auto const answer = entry.send_request(http::verb::post, "/resumable/x");
    BOOST_TEST(contains(answer, "data: 2"));
    BOOST_TEST(!contains(answer, "data: 3"));
    BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
    BOOST_TEST(entry.sends() == 1u);
}

BOOST_AUTO_TEST_CASE(a_stream_without_events_may_begin_at_another_software_version)
{
    entry_fixture entry({{stream_head() + chunk("id: 1\nda")}},
                        {{stream_head() + chunk(events(1, 2)) + "0\r\n\r\n"}});
    entry.set_software_version(0, "v1");
    entry.set_software_version(1, "v2");
    auto const answer = entry.send_request(http::verb::post, "/resumable/x");
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(the_origin_of_a_stream_is_remembered_with_its_first_event)
{
    entry_fixture entry({{stream_head() + chunk(events(1, 2)) + "0\r\n\r\n"}}, {});
    entry.set_software_version(0, "v1");
    entry.send_request(http::verb::post, "/resumable/x");
    BOOST_TEST(entry.origins.at(stream_id::of("9c41")) == "v1");
    entry.run_until([&] { return entry.ended.size() == 1; });
    BOOST_TEST((entry.ended.at(0) == stream_id::of("9c41")));
}

// Callers continue streams at a host that did not begin them
BOOST_AUTO_TEST_CASE(a_caller_continues_a_stream_at_the_software_version_that_began_it)
{
    for (auto const remote : {false, true})
    {
        entry_fixture entry({}, {{stream_head() + chunk(events(3, 4)) + "0\r\n\r\n"}});
        entry.set_software_version(0, "v1");
        entry.set_software_version(1, "v2");
        entry.origins[stream_id::of("first")] = "v2";
        entry.origins_are_remote = remote;
        auto const answer =
            entry.send_request(http::verb::post, "/resumable/x",
                               {{"Last-Event-Id", "2"}, {"Resumes", "first"}});
        BOOST_TEST(answer.ends_with("0\r\n\r\n"));
        BOOST_TEST(contains(answer, "data: 4"));
        BOOST_TEST(entry.servers[1]->requests.at(0)["Last-Event-Id"] == "2");
        BOOST_TEST(entry.servers[1]->requests.at(0)["Resumes"] == "first");
    }
}

// A host that has not listed a new version yet takes its own one for the only one
BOOST_AUTO_TEST_CASE(what_a_host_remembers_of_a_stream_goes_before_the_listed_versions)
{
    entry_fixture entry({}, {{stream_head() + chunk(events(3, 4)) + "0\r\n\r\n"}});
    entry.set_software_version(0, "v1");
    entry.set_software_version(1, "v2");
    entry.only_software_version = "v1";
    entry.origins[stream_id::of("first")] = "v2";
    entry.origins_are_remote = true;
    auto const answer = entry.send_request(
        http::verb::post, "/resumable/x", {{"Last-Event-Id", "2"}, {"Resumes", "first"}});
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
    BOOST_TEST(entry.servers[0]->requests.empty());
}

BOOST_AUTO_TEST_CASE(a_stream_of_unknown_origin_is_refused_and_not_run)
{
    entry_fixture entry({}, {});
    entry.set_software_version(0, "v1");
    entry.set_software_version(1, "v2");
    auto const begin = boot_now();
    auto const answer = entry.send_request(
        http::verb::post, "/resumable/x", {{"Last-Event-Id", "2"}, {"Resumes", "first"}});
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(contains(answer, "X-Outcome: not-run"));
    BOOST_TEST(entry.sends() == 0u);
    BOOST_TEST((boot_now() - begin < 500ms));
}

BOOST_AUTO_TEST_CASE(a_stream_of_the_only_software_version_goes_on_without_a_record)
{
    entry_fixture entry({{stream_head() + chunk(events(3, 4)) + "0\r\n\r\n"}}, {});
    entry.set_software_version(0, "v1");
    entry.set_software_version(1, "v1");
    entry.only_software_version = "v1";
    auto const answer =
        entry.send_request(http::verb::post, "/resumable/x", {{"Last-Event-Id", "2"}});
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_safe_request_leaves_a_silent_endpoint_for_another)
{
    entry_fixture entry({{"", false}}, {{sealed("second")}});
    BOOST_TEST(entry.send_request(http::verb::get, "/safe/x").ends_with("second"));
    entry.run_until([&] { return entry.servers[0]->abandoned == 1; });
}

// An endpoint in trouble sends bytes that are no answer until the other side closes
BOOST_AUTO_TEST_CASE(bytes_without_end_are_no_answer)
{
    std::string const filler(16'384, 'a');
    auto const sealed_head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n";
    for (auto const& text :
         {std::string(), std::string("HTTP/1.1 200 OK\r\nX-More: "),
          std::string("HTTP/1.1 200 OK\r\n\r\n"), sealed_head + std::string("\r\n"),
          sealed_head + std::string("Transfer-Encoding: chunked\r\n\r\n")})
    {
        auto const endless = text.ends_with("chunked\r\n\r\n") ? chunk(filler) : filler;
        entry_fixture entry({{text, true, endless}}, {{sealed("second")}});
        auto const begin = boot_now();
        auto const answer = entry.send_request(http::verb::get, "/safe/x");
        BOOST_TEST(answer.ends_with("second"), text);
        BOOST_TEST((boot_now() - begin < 1'500ms), text);
    }
}

BOOST_AUTO_TEST_CASE(an_event_without_end_is_not_forwarded)
{
    entry_fixture entry({{stream_head() + chunk(events(1, 2)), true,
                          chunk("data: " + std::string(16'384, 'a'))}},
                        {{stream_head() + chunk(events(3, 4)) + "0\r\n\r\n"}});
    auto const answer = entry.send_request(http::verb::post, "/resumable/x");
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
    BOOST_TEST(!contains(answer, "aaaa"));
}

// The rest of such answers was awaited until the request's deadline
BOOST_AUTO_TEST_CASE(a_refusal_whose_body_never_ends_does_not_hold_the_request)
{
    auto const head = [](std::string const& more)
    { return "HTTP/1.1 503 Service Unavailable\r\n" + more + "\r\n"; };
    auto const chunked = std::string("Transfer-Encoding: chunked\r\n");
    for (auto const& text :
         {head("X-Not-Executed: 1\r\n"), head("X-Not-Executed: 1\r\n" + chunked),
          head("X-Attempt-Id: other\r\n" + chunked)})
    {
        auto const endless = contains(text, "chunked") ? chunk("{}") : "{}";
        entry_fixture entry({{text, true, endless, 20ms}}, {{sealed("second")}});
        auto const begin = boot_now();
        auto const unsafe = !contains(text, "other");
        auto const answer =
            entry.send_request(unsafe ? http::verb::post : http::verb::get,
                               unsafe ? "/unsafe/x" : "/safe/x");
        BOOST_TEST(answer.ends_with("second"), text);
        BOOST_TEST((boot_now() - begin < 1s), text);
    }
}

BOOST_AUTO_TEST_CASE(the_deadline_ends_a_request_and_its_run)
{
    entry_fixture entry({{"", false}}, {});
    auto const begin = boot_now();
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 504"));
    BOOST_TEST((boot_now() - begin < 2'500ms));
    entry.run_until([&] { return entry.servers[0]->abandoned == 1; });
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_the_run)
{
    entry_fixture entry({{"", false}}, {});
    tcp::socket caller(entry.loop);
    caller.connect(entry.listener.address());
    std::string const request = "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\n"
                                "X-Attempt-Id: 9c41\r\nContent-Length: 0\r\n\r\n";
    asio::write(caller, asio::buffer(request));
    entry.run_until([&] { return entry.sends() == 1; });
    caller.close();
    entry.run_until([&] { return entry.servers[0]->abandoned == 1; });
}

// The nearer endpoint got every request although it had named a limit
BOOST_AUTO_TEST_CASE(an_endpoint_gets_no_more_requests_than_the_rate_that_it_named)
{
    constexpr int request_count = 40;
    // One and a half times one request a second over four seconds, and five more
    constexpr std::size_t allowed = 11;
    std::deque<scripted_answer> limited;
    std::deque<scripted_answer> unlimited;
    for (int request = 0; request < request_count; ++request)
    {
        limited.push_back({sealed("near", "Server-Limit: 1\r\n")});
        unlimited.push_back({sealed("far")});
    }
    entry_fixture entry(std::move(limited), std::move(unlimited));
    auto const begin = boot_now();
    for (int request = 0; request < request_count; ++request)
    {
        entry.done = false;
        BOOST_TEST(
            entry.send_request(http::verb::get, "/safe/x").starts_with("HTTP/1.1 200"));
    }
    BOOST_REQUIRE((boot_now() - begin < 4s));
    BOOST_TEST(entry.servers[0]->requests.size() <= allowed);
}

BOOST_AUTO_TEST_CASE(a_convicted_request_is_refused_everywhere)
{
    entry_fixture entry({}, {});
    caller_message message(http::verb::post, "/unsafe/x", 11);
    message.set("Host", "a.example");
    message.set("X-Attempt-Id", "1");
    auto const read = platform::request_dialect::read_request(
        message, entry.context.routes, boot_now());
    auto const content = std::get<entry_request>(read).dispatch_call.fingerprint;
    entry.context.suspects.merge(boot_now(), {.fingerprint = content,
                                              .first_crash = 1,
                                              .second_crash = 2,
                                              .crashed_at = wall_now(),
                                              .remaining = 1min});
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(entry.sends() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
