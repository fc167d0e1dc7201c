#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace marjorampath::test
{

/// A proxy before an engine that disturbs its orders and their answers. It forwards what
/// it has received, whatever becomes of the connection on which it came.
class order_proxy
{
public:
    /// Listens on a free port of loopback and forwards from a thread of its own.
    explicit order_proxy(boost::asio::ip::tcp::endpoint target);

    /// Stops forwarding.
    ~order_proxy();

    order_proxy(order_proxy const&) = delete;
    order_proxy& operator=(order_proxy const&) = delete;

    /// Address that callers connect to, as `IP:PORT`.
    [[nodiscard]] std::string address() const;

    /// Whether the next load order is held up.
    std::atomic<bool> armed = false;
    /// Whether an order is held up, and whether it may be delivered.
    std::atomic<bool> holds = false;
    std::atomic<bool> released = false;
    /// Whether each answer to an order is sent twice.
    std::atomic<bool> repeats_answers = false;
    /// Time by which the answers to orders are late.
    std::atomic<std::chrono::milliseconds> answer_delay{};

private:
    using tcp = boost::asio::ip::tcp;

    // A connection with its two sockets
    struct link
    {
        explicit link(boost::asio::io_context& loop) : caller(loop), engine(loop) {}

        tcp::socket caller;
        tcp::socket engine;
        // Whether the last request was an order
        bool is_order = false;
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> forward_requests(std::shared_ptr<link> connection);
    boost::asio::awaitable<void> forward_answers(std::shared_ptr<link> connection);
    boost::asio::awaitable<void> hold();
    boost::asio::awaitable<void> wait(std::chrono::milliseconds time);

    boost::asio::io_context loop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        loop_.get_executor()};
    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    std::thread thread_;
};

} // namespace marjorampath::test
