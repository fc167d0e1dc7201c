#include <tests/process/order_proxy.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <fmt/format.h>

#include <array>
#include <utility>

namespace marjorampath::test
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t buffer_bytes = 16'384;
constexpr std::chrono::milliseconds hold_poll(5);

} // namespace

order_proxy::order_proxy(tcp::endpoint target)
    : acceptor_(loop_, {asio::ip::address_v4::loopback(), 0}), target_(std::move(target)),
      thread_([this] { loop_.run(); })
{
    asio::co_spawn(loop_, accept(), asio::detached);
}

order_proxy::~order_proxy()
{
    loop_.stop();
    thread_.join();
}

std::string order_proxy::address() const
{
    return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
}

asio::awaitable<void> order_proxy::accept()
{
    while (true)
    {
        auto const connection = std::make_shared<link>(loop_);
        co_await acceptor_.async_accept(connection->caller, asio::use_awaitable);
        boost::system::error_code error;
        co_await connection->engine.async_connect(
            target_, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            continue;
        asio::co_spawn(loop_, forward_requests(connection), asio::detached);
        asio::co_spawn(loop_, forward_answers(connection), asio::detached);
    }
}

asio::awaitable<void> order_proxy::forward_requests(std::shared_ptr<link> connection)
{
    std::array<char, buffer_bytes> buffer{};
    boost::system::error_code error;
    while (!error)
    {
        auto const size = co_await connection->caller.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        std::string_view const bytes(buffer.data(), size);
        if (bytes.starts_with("POST ") || bytes.starts_with("GET "))
            connection->is_order = bytes.starts_with("POST /api/order");
        if (bytes.find(R"("operation":"load")") != std::string_view::npos &&
            armed.exchange(false))
            co_await hold();
        boost::system::error_code ignored;
        co_await asio::async_write(connection->engine, asio::buffer(buffer.data(), size),
                                   asio::redirect_error(asio::use_awaitable, ignored));
    }
    connection->engine.shutdown(tcp::socket::shutdown_send, error);
}

asio::awaitable<void> order_proxy::forward_answers(std::shared_ptr<link> connection)
{
    std::array<char, buffer_bytes> buffer{};
    boost::system::error_code error;
    while (!error)
    {
        auto const size = co_await connection->engine.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        auto const is_order = connection->is_order;
        if (is_order && answer_delay.load().count() > 0)
            co_await wait(answer_delay);
        auto const copies = is_order && repeats_answers ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            boost::system::error_code ignored;
            co_await asio::async_write(
                connection->caller, asio::buffer(buffer.data(), size),
                asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
    connection->caller.shutdown(tcp::socket::shutdown_send, error);
}

asio::awaitable<void> order_proxy::hold()
{
    holds = true;
    while (!released)
        co_await wait(hold_poll);
    holds = false;
}

asio::awaitable<void> order_proxy::wait(std::chrono::milliseconds time)
{
    asio::steady_timer timer(loop_, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace marjorampath::test
