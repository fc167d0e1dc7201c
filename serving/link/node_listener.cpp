#include <serving/link/asio_stream.hpp>
#include <serving/link/node_listener.hpp>
#include <serving/telemetry/log.hpp>

#include <kj/function.h>

#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;

/// Delay before accepting again after a failure, for example when file descriptors ran
/// out.
constexpr auto accept_retry_delay = std::chrono::milliseconds(100);

} // namespace

node_listener::node_listener(asio::io_context& control, options chosen,
                             node_service const& service)
    : control_(control), options_(std::move(chosen)), acceptor_(control), retry_(control),
      service_(service)
{
}

node_listener::~node_listener()
{
    *self_ = nullptr;
}

std::error_code node_listener::open()
{
    boost::system::error_code error;
    acceptor_.open(options_.address.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(options_.address, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    server_ = std::make_unique<capnp::TwoPartyServer>(kj::heap<node_server>(service_));
    accept();
    return {};
}

void node_listener::close()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
    server_.reset();
}

asio::ip::tcp::endpoint node_listener::address() const
{
    boost::system::error_code ignored;
    return acceptor_.local_endpoint(ignored);
}

void node_listener::accept()
{
    acceptor_.async_accept(
        [self = self_](boost::system::error_code error, asio::ip::tcp::socket socket)
        {
            auto* const listener = *self;
            if (listener == nullptr || !listener->server_)
                return;
            if (error)
            {
                listener->retry_.expires_after(accept_retry_delay);
                listener->retry_.async_wait(
                    [self](boost::system::error_code failed)
                    {
                        if (*self != nullptr && !failed && (*self)->server_)
                            (*self)->accept();
                    });
                return;
            }

            // Above the limit, the socket is closed on leaving this scope
            auto const full =
                *listener->connections_ >= listener->options_.max_connections;
            if (!full && listener->options_.tls)
                listener->start_tls_handshake(std::move(socket));
            else if (!full)
                listener->serve(std::make_unique<plain_socket>(std::move(socket)));
            listener->accept();
        });
}

void node_listener::start_tls_handshake(asio::ip::tcp::socket socket)
{
    auto tls_stream = std::make_shared<tls_socket>(std::move(socket), *options_.tls);
    auto timer =
        std::make_shared<asio::steady_timer>(control_, options_.handshake_timeout);
    timer->async_wait(
        [tls_stream](boost::system::error_code error)
        {
            boost::system::error_code ignored;
            if (!error)
                tls_stream->lowest_layer().close(ignored);
        });
    tls_stream->async_handshake(
        asio::ssl::stream_base::server,
        [self = self_, tls_stream, timer](boost::system::error_code error)
        {
            timer->cancel();
            if (*self == nullptr || !(*self)->server_)
                return;
            if (error)
            {
                log_event(event::link_refused, "error", error.message());
                return;
            }
            (*self)->serve(std::make_unique<tls_socket>(std::move(*tls_stream)));
        });
}

template <class Socket>
void node_listener::serve(std::unique_ptr<Socket> socket)
{
    boost::system::error_code ignored;
    socket->lowest_layer().set_option(asio::ip::tcp::no_delay(true), ignored);
    ++*connections_;
    kj::Own<kj::AsyncIoStream> stream = kj::heap<asio_stream<Socket>>(std::move(socket));
    server_->accept(stream.attach(kj::defer([count = connections_] { --*count; })));
}

} // namespace marjorampath::serving
