#include <serving/link/peer_link.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/post.hpp>

#include <utility>
#include <vector>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;

/// Destroys a value only after the current handler has returned.
template <class Value>
void destroy_later(asio::io_context& context, Value&& value)
{
    auto kept = std::make_shared<std::decay_t<Value>>(std::forward<Value>(value));
    asio::post(context, [kept] {});
}

} // namespace

peer_link::peer_link(asio::io_context& control, options chosen)
    : control_(control), options_(std::move(chosen)), timer_(control),
      idle_timer_(control), delays_(options_.delays)
{
}

peer_link::~peer_link()
{
    // Calls are destroyed before the connection that they use
    calls_.clear();
    connection_.hello = nullptr;
    connection_.end = nullptr;
    connection_.node.reset();
    connection_.client = nullptr;
}

void peer_link::cancel(call_number number)
{
    remove(number);
}

void peer_link::close()
{
    if (state_ == state::closed)
        return;
    state_ = state::closed;
    on_connection_lost("closed");
    state_ = state::closed;
    timer_.cancel();
}

stream_traffic peer_link::traffic() const noexcept
{
    auto sum = closed_traffic_;
    if (connection_.traffic)
    {
        auto const now = connection_.traffic();
        sum.received += now.received;
        sum.sent += now.sent;
    }
    return sum;
}

void peer_link::start_call(call_number number, open_call call, duration timeout)
{
    auto const full =
        calls_.size() >= options_.max_calls ||
        (state_ == state::open &&
         connection_.client->getCurrentQueueSize() > options_.max_unsent_bytes);
    if (state_ == state::backing_off || full)
    {
        auto const error = full ? link_error::overloaded : link_error::unreachable;
        asio::post(control_, [fail = std::move(call.fail), error] { fail(error); });
        return;
    }

    call.timer = std::make_unique<asio::steady_timer>(control_, timeout);
    call.timer->async_wait(
        [weak = weak_from_this(), number](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (self && !error)
                self->on_timeout(number);
        });
    auto& registered = calls_.emplace(number, std::move(call)).first->second;
    if (state_ == state::open)
        send(registered);
    else if (state_ == state::closed)
        connect();
}

void peer_link::send(open_call& call)
{
    auto const start = std::move(call.start);
    call.promise = start();
}

void peer_link::connect()
{
    state_ = state::connecting;
    auto const attempt = ++attempt_;
    timer_.expires_after(options_.connect_timeout);
    timer_.async_wait(
        [weak = weak_from_this(), attempt](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (self && !error && self->attempt_ == attempt)
                self->on_connection_lost("connect timeout");
        });

    auto const is_current = [attempt](auto const& self)
    { return self && self->attempt_ == attempt && self->state_ == state::connecting; };
    if (!options_.tls)
    {
        auto socket = std::make_shared<plain_socket>(control_);
        socket->async_connect(
            options_.address,
            [weak = weak_from_this(), socket, is_current](boost::system::error_code error)
            {
                auto const self = weak.lock();
                if (!is_current(self))
                    return;
                if (error)
                    return self->on_connection_lost("connect");
                self->start_session(std::make_unique<plain_socket>(std::move(*socket)));
            });
        return;
    }
    auto socket = std::make_shared<tls_socket>(control_, *options_.tls);
    auto on_handshake =
        [weak = weak_from_this(), socket, is_current](boost::system::error_code error)
    {
        auto const self = weak.lock();
        if (!is_current(self))
            return;
        if (error)
            return self->on_connection_lost("TLS handshake");
        self->start_session(std::make_unique<tls_socket>(std::move(*socket)));
    };
    socket->next_layer().async_connect(
        options_.address,
        [weak = weak_from_this(), socket, is_current,
         on_handshake](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!is_current(self))
                return;
            if (error)
                return self->on_connection_lost("connect");
            socket->async_handshake(asio::ssl::stream_base::client, on_handshake);
        });
}

template <class Socket>
void peer_link::start_session(std::unique_ptr<Socket> socket)
{
    boost::system::error_code ignored;
    socket->lowest_layer().set_option(asio::ip::tcp::no_delay(true), ignored);
    auto stream = kj::heap<asio_stream<Socket>>(std::move(socket));
    connection_.traffic = [raw = stream.get()] { return raw->traffic(); };
    connection_.stream = kj::mv(stream);
    connection_.client = kj::heap<capnp::TwoPartyClient>(*connection_.stream);
    connection_.node = connection_.client->bootstrap().castAs<schema::Node>();

    auto on_end = [weak = weak_from_this(), attempt = attempt_]
    {
        auto const self = weak.lock();
        if (self && self->attempt_ == attempt)
            self->on_connection_lost("connection ended");
    };
    connection_.end =
        connection_.stream->whenWriteDisconnected()
            .then([on_end] { on_end(); }, [on_end](kj::Exception&&) { on_end(); })
            .eagerlyEvaluate(nullptr);

    // No calls are sent before the other host has identified itself
    auto message = node_method<node_hello>::start(*connection_.node);
    encode(options_.self, message.initRequest());
    auto on_hello = [weak = weak_from_this(), attempt = attempt_](auto&& response)
    {
        auto const self = weak.lock();
        if (!self || self->attempt_ != attempt)
            return;
        node_hello hello;
        decode(response.getReply(), hello);
        self->accept_hello(hello);
    };
    connection_.hello = message.send()
                            .then(kj::mv(on_hello))
                            .catch_([on_end](kj::Exception&&) { on_end(); })
                            .eagerlyEvaluate(nullptr);
}

void peer_link::accept_hello(node_hello const& hello)
{
    if (hello.host != options_.peer || !is_compatible(hello.version))
    {
        log_event(hello.host != options_.peer ? event::link_refused
                                              : event::link_version_unknown,
                  "peer", options_.peer, "said", hello.host, "version", hello.version);
        return on_connection_lost("wrong peer");
    }
    state_ = state::open;
    timer_.cancel();
    delays_.reset();
    consecutive_timeouts_ = 0;
    log_event(event::link_opened, "peer", options_.peer);
    start_idle_timer();
    for (auto& [number, call] : calls_)
        send(call);
}

void peer_link::on_connection_lost(char const* reason)
{
    ++attempt_;
    if (state_ == state::open)
        log_event(event::link_lost, "peer", options_.peer, "reason", reason);
    drop_connection();

    // Calls fail until the delay has passed
    state_ = state::backing_off;
    auto const attempt = attempt_;
    timer_.expires_after(delays_.next());
    timer_.async_wait(
        [weak = weak_from_this(), attempt](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (self && !error && self->attempt_ == attempt)
                self->state_ = state::closed;
        });

    // The other host may have acted on calls that were sent
    std::vector<std::pair<call_number, std::error_code>> failed;
    for (auto const& [number, call] : calls_)
    {
        auto const sent = call.promise != nullptr;
        failed.emplace_back(number,
                            sent ? link_error::connection_lost : link_error::unreachable);
    }
    for (auto const& [number, error] : failed)
        fail(number, error);
}

void peer_link::on_timeout(call_number number)
{
    auto const found = calls_.find(number);
    if (found == calls_.end())
        return;
    bool const sent = found->second.promise != nullptr;
    fail(number, sent ? link_error::timed_out : link_error::unreachable);
    if (sent && ++consecutive_timeouts_ >= options_.max_consecutive_timeouts &&
        state_ == state::open)
        on_connection_lost("no replies");
}

void peer_link::fail(call_number number, std::error_code error)
{
    auto const call = remove(number);
    if (call.fail)
        call.fail(error);
}

peer_link::open_call peer_link::remove(call_number number)
{
    auto const found = calls_.find(number);
    if (found == calls_.end())
        return {};
    auto call = std::move(found->second);
    calls_.erase(found);
    if (call.promise != nullptr)
        destroy_later(control_, std::move(call.promise));
    call.promise = nullptr;
    return call;
}

void peer_link::start_idle_timer()
{
    idle_check_call_ = last_call_;
    idle_timer_.expires_after(options_.idle_timeout);
    idle_timer_.async_wait(
        [weak = weak_from_this(), attempt = attempt_](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!self || error || self->attempt_ != attempt)
                return;
            if (self->idle_check_call_ == self->last_call_ && self->calls_.empty())
                self->close();
            else
                self->start_idle_timer();
        });
}

void peer_link::drop_connection()
{
    if (connection_.traffic)
    {
        auto const passed = connection_.traffic();
        closed_traffic_.received += passed.received;
        closed_traffic_.sent += passed.sent;
    }

    // The parts are destroyed in the reverse order of the members
    auto retired = std::make_shared<connection>(std::move(connection_));
    connection_ = {};
    asio::post(control_,
               [retired]
               {
                   retired->hello = nullptr;
                   retired->end = nullptr;
                   retired->node.reset();
                   retired->client = nullptr;
               });
}

std::error_code peer_link::to_error(kj::Exception const& exception)
{
    switch (exception.getType())
    {
    case kj::Exception::Type::DISCONNECTED:
        return link_error::connection_lost;
    case kj::Exception::Type::UNIMPLEMENTED:
        return link_error::unsupported;
    case kj::Exception::Type::OVERLOADED:
    case kj::Exception::Type::FAILED:
        break;
    }
    return link_error::failed;
}

} // namespace marjorampath::serving
