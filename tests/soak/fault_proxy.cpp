#include <tests/soak/fault_proxy.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace marjorampath::test
{

namespace asio = boost::asio;

namespace
{

// Time that a delayed piece waits
constexpr std::chrono::milliseconds piece_delay(150);
// Time between two looks at a state that holds bytes back
constexpr std::chrono::milliseconds look_period(10);
// Bytes carried at once
constexpr std::size_t piece_bytes = 16'384;

} // namespace

struct fault_proxy::connection
{
    explicit connection(asio::io_context& context) : caller(context), target(context) {}

    // Ends both sides with a reset
    void reset()
    {
        for (auto* socket : {&caller, &target})
        {
            boost::system::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    tcp::socket caller;
    tcp::socket target;
};

fault_proxy::fault_proxy(asio::io_context& context, tcp::endpoint const& target)
    : context_(context),
      acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      target_(target)
{
    asio::co_spawn(context_, accept(), asio::detached);
}

void fault_proxy::set_target(tcp::endpoint const& target)
{
    asio::post(context_, [this, target] { target_ = target; });
}

void fault_proxy::reset()
{
    asio::post(context_,
               [this]
               {
                   for (auto const& each : connections_)
                       each->reset();
               });
}

asio::awaitable<void> fault_proxy::accept()
{
    while (true)
    {
        auto made = std::make_shared<connection>(context_);
        boost::system::error_code error;
        co_await acceptor_.async_accept(made->caller,
                                        asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            asio::co_spawn(context_, open(made), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::open(std::shared_ptr<connection> made)
{
    connections_.insert(made);
    co_await hold(true);
    boost::system::error_code error;
    co_await made->target.async_connect(target_,
                                        asio::redirect_error(asio::use_awaitable, error));
    if (error)
    {
        made->reset();
        connections_.erase(made);
        co_return;
    }
    made->caller.set_option(tcp::no_delay(true), error);
    made->target.set_option(tcp::no_delay(true), error);
    asio::co_spawn(context_, carry(made, true), asio::detached);
    co_await carry(made, false);
    connections_.erase(made);
}

asio::awaitable<void> fault_proxy::hold(bool to_target)
{
    asio::steady_timer timer(context_);
    auto const cut = to_target ? link_state::cut_to_target : link_state::cut_to_caller;
    if (state_ == link_state::delayed)
    {
        timer.expires_after(piece_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    while (state_ == link_state::silent || state_ == cut)
    {
        timer.expires_after(look_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> fault_proxy::carry(std::shared_ptr<connection> carried,
                                         bool to_target)
{
    auto& from = to_target ? carried->caller : carried->target;
    auto& to = to_target ? carried->target : carried->caller;
    std::array<char, piece_bytes> piece{};
    boost::system::error_code error;
    while (!error)
    {
        auto const room = asio::buffer(piece);
        auto const size = co_await from.async_read_some(
            room, asio::redirect_error(asio::use_awaitable, error));
        co_await hold(to_target);
        auto const bytes = asio::buffer(piece, size);
        boost::system::error_code written;
        co_await asio::async_write(to, bytes,
                                   asio::redirect_error(asio::use_awaitable, written));
        if (written)
            error = written;
    }

    // An orderly end passes as such, anything else as a reset
    if (error != asio::error::eof)
        co_return carried->reset();
    to.shutdown(tcp::socket::shutdown_send, error);
}

} // namespace marjorampath::test
