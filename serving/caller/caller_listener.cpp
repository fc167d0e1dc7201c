#include <serving/caller/caller_listener.hpp>
#include <serving/caller/caller_session.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <string>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Pause after a failed accept, for example when the process is out of file descriptors
constexpr auto accept_retry_delay = std::chrono::milliseconds(50);
// Interval of the check for connections whose time limit has passed
constexpr auto expiry_check_interval = std::chrono::milliseconds(250);

// What an exception says of its cause
std::string describe(std::exception_ptr const& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (std::exception const& known)
    {
        return known.what();
    }
    catch (...)
    {
        return "unknown exception";
    }
}

} // namespace

caller_listener::caller_listener(caller_context& context)
    : context_(&context), acceptor_(context.loop), expiry_timer_(context.loop)
{
}

caller_listener::~caller_listener() = default;

error_code caller_listener::listen(tcp::endpoint const& address)
{
    error_code error;
    acceptor_.open(address.protocol(), error);
    if (!error)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.set_option(reuse_port(true), error);
    // Accepted connections inherit the sizes of their buffers
    if (!error && context_->resources)
        acceptor_.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes),
                             error);
    if (!error && context_->resources)
        acceptor_.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes),
                             error);
    if (!error)
        acceptor_.bind(address, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    return error;
}

tcp::endpoint caller_listener::address() const
{
    error_code ignored;
    return acceptor_.local_endpoint(ignored);
}

void caller_listener::start()
{
    asio::co_spawn(context_->loop, accept(), asio::detached);
    close_expired_sessions();
}

void caller_listener::close_expired_sessions()
{
    auto const now = boot_now();
    for (auto const& session : open_sessions())
        session->close_if_expired(now);

    expiry_timer_.expires_after(expiry_check_interval);
    expiry_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
                close_expired_sessions();
        });
}

std::vector<std::shared_ptr<caller_session>> caller_listener::open_sessions() const
{
    return {sessions_.begin(), sessions_.end()};
}

asio::awaitable<void> caller_listener::accept()
{
    asio::steady_timer pause(context_->loop);
    while (acceptor_.is_open())
    {
        error_code error;
        auto socket = co_await acceptor_.async_accept(
            asio::redirect_error(asio::use_awaitable, error));
        if (!error)
        {
            serve(std::move(socket));
            continue;
        }
        if (error == asio::error::operation_aborted)
            break;
        pause.expires_after(accept_retry_delay);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void caller_listener::serve(tcp::socket socket)
{
    if (sessions_.size() >= context_->limits.max_connections)
        return;
    auto session = std::make_shared<caller_session>(std::move(socket), *context_);
    if (!session->open_place())
        return;
    sessions_.insert(session);
    asio::co_spawn(context_->loop, session->run(),
                   [this, session](std::exception_ptr const& failure)
                   {
                       if (failure)
                           log_event(event::handler_failed, "request",
                                     session->request_name(), "error", describe(failure));
                       remove_session(session);
                   });
}

void caller_listener::remove_session(std::shared_ptr<caller_session> const& session)
{
    sessions_.erase(session);
    if (sessions_.empty() && drained_)
        std::exchange(drained_, nullptr)();
}

void caller_listener::accept_backlog()
{
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error)
    {
        auto socket = acceptor_.accept(error);
        if (!error)
            serve(std::move(socket));
    }
}

void caller_listener::stop(std::function<void()> drained)
{
    accept_backlog();
    error_code ignored;
    acceptor_.close(ignored);

    for (auto const& session : open_sessions())
        session->stop();

    drained_ = std::move(drained);
    if (sessions_.empty() && drained_)
        std::exchange(drained_, nullptr)();
}

} // namespace marjorampath::serving
