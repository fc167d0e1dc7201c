#include <tests/soak/soak_crowd.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <fmt/format.h>

#include <chrono>

namespace marjorampath::test
{

namespace asio = boost::asio;

namespace
{

// Bounds of the time for which a connection stays open
constexpr int min_stay_ms = 200;
constexpr int max_stay_ms = 3'000;
// Body that is sent without its end
constexpr std::size_t unfinished_body_bytes = 1'000'000;
// Body beyond the limit of 1 MiB
constexpr std::size_t oversized_body_bytes = 3'000'000;
// Requests that are sent behind each other
constexpr int pipelined_requests = 50;

int choose(boost::random::mt19937& random, int min, int max)
{
    return boost::random::uniform_int_distribution<int>(min, max)(random);
}

} // namespace

soak_crowd::soak_crowd(asio::io_context& context, options const& values)
    : context_(context), options_(values)
{
}

void soak_crowd::start()
{
    auto seed = options_.seed;
    for (std::size_t node = 0; node < options_.nodes.size(); ++node)
        for (std::size_t client = 0; client < options_.clients; ++client)
        {
            ++running_;
            asio::co_spawn(context_, run_client(node, ++seed), asio::detached);
        }
}

std::string soak_crowd::choose_bytes(random_engine& random) const
{
    auto head = fmt::format("POST {}crowd HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: "
                            "crowd-{}\r\nX-Deadline-Ms: 4000\r\n",
                            options_.path, options_.host, random());
    auto const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    switch (choose(random, 0, 6))
    {
    case 0:
        return {};
    case 1:
        return head;
    case 2:
        return fmt::format("{}Content-Length: {}\r\n\r\n{}", head,
                           unfinished_body_bytes + 1,
                           std::string(unfinished_body_bytes, 'a'));
    case 3:
        return fmt::format("{}{:x}\r\n{}", chunked, unfinished_body_bytes + 1,
                           std::string(unfinished_body_bytes, 'a'));
    case 4:
        return fmt::format("{}{:x}\r\n{}", chunked, oversized_body_bytes,
                           std::string(oversized_body_bytes, 'a'));
    case 5:
        return fmt::format("{}1\r\na\r\n0\r\nX-Filler: {}", chunked,
                           std::string(unfinished_body_bytes, 'a'));
    default:
        std::string requests;
        for (int count = 0; count < pipelined_requests; ++count)
            requests += head + "Content-Length: 0\r\n\r\n";
        return requests;
    }
}

asio::awaitable<void> soak_crowd::run_client(std::size_t node, std::uint32_t seed)
{
    random_engine random(seed);
    asio::steady_timer timer(context_);
    while (!stopped_)
    {
        asio::ip::tcp::socket socket(context_);
        boost::system::error_code error;
        co_await socket.async_connect(options_.nodes[node],
                                      asio::redirect_error(asio::use_awaitable, error));
        auto const bytes = choose_bytes(random);
        if (!error)
            asio::async_write(socket, asio::buffer(bytes),
                              [](boost::system::error_code, std::size_t) {});
        timer.expires_after(
            std::chrono::milliseconds(choose(random, min_stay_ms, max_stay_ms)));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        socket.close(error);

        // The write ends before its bytes are destroyed
        timer.expires_after(std::chrono::milliseconds(1));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    --running_;
}

} // namespace marjorampath::test
