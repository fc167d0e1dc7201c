#include <serving/clock/boot_time.hpp>
#include <serving/link/kj_loop.hpp>
#include <serving/link/node_listener.hpp>
#include <serving/link/peer_link.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::serving;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;

constexpr auto test_timeout = 10s;
host_id const server_host(2);

/// A server and a link to it, on one thread.
struct link_fixture
{
    link_fixture()
    {
        service.hello = [](node_hello const&, reply_function<node_hello> const& reply)
        { reply({.host = server_host, .incarnation = 1}); };
        service.on_probe = [](probe const& request,
                              reply_function<probe_reply> const& reply) {
            reply(probe_reply{request.sequence, {}, server_host, {}});
        };
        service.on_sheet = [](sheet_request const&,
                              reply_function<sheet_reply> const& reply) {
            reply({.number = 7,
                   .manifest = "m",
                   .parts = {{"big", std::string(900'000, 'x')}}});
        };
        service.on_grant = [this](cell_grant_request const& message,
                                  reply_function<cell_grant_reply> reply)
        {
            received_requests.push_back(message.request.request);
            grant_replies.push_back(std::move(reply));
        };
        service.on_grant_withdrawn = [this](resource_id, request_id request)
        { withdrawn.push_back(request); };
        start_listener({asio::ip::address_v4::loopback(), 0});
        link = make_link({});
    }

    ~link_fixture()
    {
        link.reset();
        grant_replies.clear();
        listener.reset();
        loop.drain();
        context.poll();
    }

    void start_listener(asio::ip::tcp::endpoint const& address)
    {
        listener = std::make_unique<node_listener>(
            context, node_listener::options{.address = address}, service);
        BOOST_REQUIRE(!listener->open());
    }

    std::shared_ptr<peer_link> make_link(peer_link::options options)
    {
        options.address = listener->address();
        if (!options.peer)
            options.peer = server_host;
        return std::make_shared<peer_link>(context, options);
    }

    /// Runs handlers until the condition holds; fails the test after `test_timeout`.
    void run_until(std::function<bool()> const& condition)
    {
        auto const end = boot_now() + test_timeout;
        while (!condition() && boot_now() < end)
            context.run_one_for(10ms);
        BOOST_REQUIRE(condition());
    }

    /// Makes a call and waits until it ends; returns its error.
    template <class Request>
    std::error_code call(Request const& request, duration timeout = test_timeout,
                         typename node_method<Request>::reply* out = nullptr)
    {
        std::optional<std::error_code> result;
        link->call(request, timeout,
                   [&](std::error_code error, auto const& reply)
                   {
                       result = error;
                       if (out != nullptr)
                           *out = reply;
                   });
        BOOST_TEST(!result.has_value());
        run_until([&] { return result.has_value(); });
        return *result;
    }

    asio::io_context context;
    kj_loop loop{context};
    node_service service;
    std::unique_ptr<node_listener> listener;
    std::shared_ptr<peer_link> link;
    std::vector<request_id> received_requests;
    std::vector<reply_function<cell_grant_reply>> grant_replies;
    std::vector<request_id> withdrawn;
};

cell_grant_request make_grant_request(std::uint64_t number)
{
    cell_grant_request message;
    message.request.request = request_id(number);
    message.request.deadline = boot_now() + 30s;
    return message;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(link_calls, link_fixture)

BOOST_AUTO_TEST_CASE(a_call_gets_its_reply_and_the_connection_is_kept)
{
    for (std::uint64_t sequence = 1; sequence <= 100; ++sequence)
    {
        probe_reply reply;
        BOOST_TEST(!call(probe{sequence, {}, {}, {}}, test_timeout, &reply));
        BOOST_TEST(reply.sequence == sequence);
    }
    BOOST_TEST(listener->connections() == 1U);
    BOOST_TEST(link->traffic().sent > 0U);
}

BOOST_AUTO_TEST_CASE(a_large_reply_arrives_whole)
{
    sheet_reply reply;
    BOOST_TEST(!call(sheet_request{}, test_timeout, &reply));
    BOOST_REQUIRE(reply.parts.size() == 1U);
    BOOST_TEST((reply.parts[0].text == std::string(900'000, 'x')));
}

BOOST_AUTO_TEST_CASE(replies_may_arrive_out_of_order)
{
    std::vector<std::uint64_t> order;
    for (std::uint64_t number : {1, 2})
        link->call(make_grant_request(number), test_timeout,
                   [&](std::error_code error, cell_grant_reply const& reply)
                   {
                       BOOST_TEST(!error);
                       order.push_back(reply.request.number());
                   });
    run_until([&] { return grant_replies.size() == 2; });
    grant_replies[1]({.request = received_requests[1]});
    run_until([&] { return order.size() == 1; });
    grant_replies[0]({.request = received_requests[0]});
    run_until([&] { return order.size() == 2; });
    BOOST_TEST((order == std::vector<std::uint64_t>{2, 1}));
    BOOST_TEST(withdrawn.empty());
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_is_withdrawn_at_the_other_host)
{
    bool called = false;
    auto const number = link->call(make_grant_request(5), test_timeout,
                                   [&](auto const&...) { called = true; });
    run_until([&] { return !received_requests.empty(); });
    link->cancel(number);
    run_until([&] { return !withdrawn.empty(); });
    BOOST_TEST((withdrawn.front() == request_id(5)));
    BOOST_TEST(!called);
}

BOOST_AUTO_TEST_CASE(a_call_without_reply_times_out_and_is_withdrawn)
{
    BOOST_TEST((call(make_grant_request(1), 50ms) == link_error::timed_out));
    run_until([&] { return !withdrawn.empty(); });
}

BOOST_AUTO_TEST_CASE(a_lost_connection_fails_sent_calls_and_withdraws_them)
{
    std::optional<std::error_code> result;
    link->call(make_grant_request(1), test_timeout,
               [&](std::error_code error, auto const&) { result = error; });
    run_until([&] { return !received_requests.empty(); });
    auto const address = listener->address();
    listener->close();
    run_until([&] { return result.has_value(); });
    BOOST_TEST((*result == link_error::connection_lost));
    BOOST_TEST(!was_never_sent(*result));
    BOOST_TEST(withdrawn.size() == 1U);

    // The link reconnects once the other host is back
    start_listener(address);
    run_until([&] { return !call(probe{}); });
}

BOOST_AUTO_TEST_CASE(a_call_to_a_closed_port_was_never_sent)
{
    listener->close();
    auto const error = call(probe{});
    BOOST_TEST((error == link_error::unreachable));
    BOOST_TEST(was_never_sent(error));

    // During the reconnection delay, calls fail immediately
    BOOST_TEST((call(probe{}, 60s) == link_error::unreachable));
}

BOOST_AUTO_TEST_CASE(a_host_with_an_unexpected_identity_gets_no_call)
{
    link = make_link({.peer = host_id(9)});
    BOOST_TEST((call(probe{}) == link_error::unreachable));
}

BOOST_AUTO_TEST_CASE(a_call_that_the_other_host_does_not_know_is_unsupported)
{
    BOOST_TEST((call(lease_release{}) == link_error::unsupported));
    BOOST_TEST(!call(probe{}));
}

BOOST_AUTO_TEST_CASE(open_calls_are_bounded)
{
    link = make_link({.max_calls = 2});
    std::vector<std::error_code> errors;
    for (std::uint64_t number = 1; number <= 3; ++number)
        link->call(make_grant_request(number), test_timeout,
                   [&](std::error_code error, auto const&) { errors.push_back(error); });
    run_until([&] { return errors.size() == 1; });
    BOOST_TEST((errors.front() == link_error::overloaded));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed)
{
    link = make_link({.idle_timeout = 20ms});
    BOOST_TEST(!call(probe{}));
    run_until([&] { return listener->connections() == 0; });
    BOOST_TEST(!link->is_open());
}

BOOST_AUTO_TEST_CASE(consecutive_timeouts_close_the_connection)
{
    link = make_link({.max_consecutive_timeouts = 2});
    BOOST_TEST(!call(probe{}));
    BOOST_TEST((call(make_grant_request(1), 20ms) == link_error::timed_out));
    BOOST_TEST(link->is_open());
    BOOST_TEST((call(make_grant_request(2), 20ms) == link_error::timed_out));
    BOOST_TEST(!link->is_open());
}

BOOST_AUTO_TEST_CASE(invalid_bytes_end_only_their_own_connection)
{
    asio::ip::tcp::socket socket(context);
    socket.connect(listener->address());
    std::string const garbage(64, '\xff');
    asio::write(socket, asio::buffer(garbage));
    std::size_t received = 1;
    std::string buffer(1024, '\0');
    socket.async_read_some(asio::buffer(buffer),
                           [&](boost::system::error_code error, std::size_t)
                           { received = error ? 0 : 1; });
    BOOST_TEST(!call(probe{}));
    run_until([&] { return received == 0 || listener->connections() == 1; });
    BOOST_TEST(!call(probe{}));
}

BOOST_AUTO_TEST_SUITE_END()
