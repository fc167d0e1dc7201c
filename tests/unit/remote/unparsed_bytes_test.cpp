#include <serving/caller/caller_listener.hpp>
#include <serving/caller/caller_session.hpp>
#include <serving/endpoint/answer_reader.hpp>
#include <serving/endpoint/http_fetch.hpp>
#include <serving/remote/http_reader.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

using namespace marjorampath::serving;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::string_view chunked_answer =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view chunked_request =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
// What an endless part of a message begins with
std::array<std::string, 3> const endless_parts{
    "1;", "5\r\nhello\r\n0\r\nX: ", "5\r\nhello\r\n1;"};
// Bytes that a sender offers: far more than any reader and the sockets between hold
constexpr std::size_t offered_bytes = 50'000'000;
constexpr std::size_t most_accepted_bytes = 10'000'000;
constexpr auto test_timeout = 20s;

// Sends a beginning and then filler until the receiver closes; returns the bytes sent
asio::awaitable<std::size_t> flood(tcp::socket& socket, std::string beginning)
{
    error_code error;
    std::size_t sent = 0;
    std::string piece = std::move(beginning);
    while (!error && sent < offered_bytes)
    {
        sent +=
            co_await asio::async_write(socket, asio::buffer(piece),
                                       asio::redirect_error(asio::use_awaitable, error));
        piece.assign(65'536, 'a');
    }
    co_return sent;
}

} // namespace

namespace unparsed_bytes_tests
{

// A server that answers one request with bytes that do not end
struct flooding_server
{
    explicit flooding_server(std::string const& part)
    {
        asio::co_spawn(
            loop,
            [this, text = std::string(chunked_answer) + part]() -> asio::awaitable<void>
            {
                auto socket = co_await acceptor.async_accept(asio::use_awaitable);
                sent = co_await flood(socket, text);
            },
            asio::detached);
    }

    // Runs a read from the server to its end
    template <class Read>
    void run(Read read)
    {
        auto done = false;
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void>
            {
                co_await read();
                done = true;
            },
            asio::detached);
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (!done && std::chrono::steady_clock::now() < end)
            loop.run_one_for(100ms);
        BOOST_REQUIRE(done);
    }

    asio::io_context loop;
    tcp::acceptor acceptor{loop, {asio::ip::address_v4::loopback(), 0}};
    std::size_t sent = 0;
};

} // namespace unparsed_bytes_tests

using unparsed_bytes_tests::flooding_server;

// Readers kept all bytes of a line between chunks and of a trailer, which no limit of the
// parser holds for; one sender took a host to 2.6 GB
BOOST_AUTO_TEST_SUITE(unparsed_bytes)

BOOST_DATA_TEST_CASE(a_fetch_ends, boost::unit_test::data::make(endless_parts), part)
{
    flooding_server server(part);
    http_fetch_result result;
    server.run(
        [&]() -> asio::awaitable<void>
        {
            result = co_await http_fetch(
                server.acceptor.local_endpoint(), {http::verb::get, "/", 11},
                {.timeout = test_timeout, .progress_timeout = test_timeout});
        });
    BOOST_TEST((result.error == http::error::buffer_overflow), result.error.message());
    BOOST_TEST(result.received < most_accepted_bytes);
}

BOOST_DATA_TEST_CASE(a_read_of_the_store_ends,
                     boost::unit_test::data::make(endless_parts), part)
{
    flooding_server server(part);
    http_read_result result;
    server.run(
        [&]() -> asio::awaitable<void>
        {
            http_reader reader(
                server.loop.get_executor(),
                {.server = server.acceptor.local_endpoint(), .timeout = test_timeout});
            result = co_await reader.get("/", 0ms);
        });
    BOOST_TEST(
        (result.error == std::error_code(error_code(http::error::buffer_overflow))),
        result.error.message());
    BOOST_TEST(result.received < most_accepted_bytes);
}

BOOST_DATA_TEST_CASE(an_endpoints_answer_ends,
                     boost::unit_test::data::make(endless_parts), part)
{
    flooding_server server(part);
    error_code error;
    server.run(
        [&]() -> asio::awaitable<void>
        {
            auto const connection = std::make_shared<endpoint_socket>(server.loop);
            co_await connection->async_connect(server.acceptor.local_endpoint(),
                                               asio::use_awaitable);
            answer_reader reader(connection);
            std::string body;
            error = co_await reader.read_head();
            if (!error)
                error = co_await reader.read_rest(body, 1'000'000);
            BOOST_TEST(reader.take_unparsed().size() <
                       max_chunk_line_bytes + 2 * answer_read_bytes);
        });
    BOOST_TEST((error == http::error::buffer_overflow), error.message());
}

BOOST_DATA_TEST_CASE(a_request_is_rejected, boost::unit_test::data::make(endless_parts),
                     part)
{
    asio::io_context loop;
    auto handled = false;
    caller_context context{.loop = loop,
                           .handle_request = [&](caller_session&, caller_message const&)
                               -> asio::awaitable<void>
                           {
                               handled = true;
                               co_return;
                           }};
    tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
    auto served = false;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void>
        {
            auto const session = std::make_shared<caller_session>(
                co_await acceptor.async_accept(asio::use_awaitable), context);
            co_await session->run();
            served = true;
        },
        asio::detached);
    std::string answer;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void>
        {
            tcp::socket caller(loop);
            co_await caller.async_connect(acceptor.local_endpoint(), asio::use_awaitable);
            co_await flood(caller, std::string(chunked_request) + part);
            error_code error;
            co_await asio::async_read(caller, asio::dynamic_buffer(answer),
                                      asio::redirect_error(asio::use_awaitable, error));
        },
        asio::detached);
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    while (!served && std::chrono::steady_clock::now() < end)
        loop.run_one_for(100ms);
    BOOST_TEST(served);
    BOOST_TEST(answer.starts_with("HTTP/1.1 400"), answer);
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(!handled);
}

BOOST_AUTO_TEST_SUITE_END()
