#pragma once

#include <serving/link/asio_stream.hpp>
#include <serving/link/link_error.hpp>
#include <serving/link/node_method.hpp>
#include <serving/remote/back_off.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <capnp/rpc-twoparty.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace marjorampath::serving
{

/// Receives the reply of a call, or the error for which there is none.
template <class Reply>
using call_handler = std::function<void(std::error_code, Reply const&)>;

/// Identifies an open call of one link; zero for none.
using call_number = std::uint64_t;

/// The way from this host to another one: one connection that is opened by the first
/// call, kept, closed when idle and opened again after a failure, with jittered delays.
///
/// While a delay runs, calls fail at once as `unreachable`. Used on the control thread
/// only; owned by a shared_ptr.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    /// How to construct a peer_link.
    struct options
    {
        /// Address of the other host's node port.
        boost::asio::ip::tcp::endpoint address = {};
        /// The other host; a host that says to be another one is not talked to.
        host_id peer = {};
        /// This host.
        node_hello self = {};
        /// TLS with the certificate of this host; null for a connection without TLS.
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr;
        /// Time within which a connection is open or has failed.
        std::chrono::milliseconds connect_timeout{500};
        /// Time without calls after which the connection is closed.
        std::chrono::milliseconds idle_timeout{60'000};
        /// Largest number of open calls.
        std::size_t max_calls = 8192;
        /// Largest number of bytes that wait to be sent.
        std::size_t max_unsent_bytes = 32 << 20;
        /// Calls in a row without a reply after which the connection is closed.
        std::uint32_t max_timeouts = 3;
        /// Delays before the connection is opened again.
        back_off::options delays{.first = std::chrono::milliseconds(50),
                                 .largest = std::chrono::milliseconds(1000)};
    };

    /// Does not connect yet. A kj_loop exists on the thread.
    peer_link(boost::asio::io_context& control, options chosen);
    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Calls the other host. The handler is called once, never before this function
    /// returns, unless the call is cancelled.
    template <class Request>
    call_number call(Request const& request, duration timeout,
                     call_handler<typename node_method<Request>::reply> handler);

    /// Gives up on a call; its handler is not called. The other host is told.
    void cancel(call_number number);

    /// Closes the connection; open calls fail. The next call opens it again.
    void close();

    /// Whether the connection is open.
    [[nodiscard]] bool is_open() const noexcept
    {
        return state_ == state::open;
    }

    /// Bytes that passed in all connections so far.
    [[nodiscard]] stream_traffic traffic() const noexcept;

    /// Address that it connects to.
    [[nodiscard]] boost::asio::ip::tcp::endpoint const& address() const noexcept
    {
        return options_.address;
    }

private:
    /// What the link does.
    enum class state : std::uint8_t
    {
        closed,
        connecting,
        open,
        waiting
    };

    /// A call without reply.
    struct open_call
    {
        // Sends it
        std::function<kj::Promise<void>()> start;
        // Ends it without a reply
        std::function<void(std::error_code)> fail;
        // Ends it when no reply comes in time
        std::unique_ptr<boost::asio::steady_timer> timer;
        // The call, once it was sent
        kj::Maybe<kj::Promise<void>> promise;
    };

    /// The parts of one connection, in the order in which they depend on each other.
    struct connection
    {
        // The stream
        kj::Own<kj::AsyncIoStream> stream;
        // Tells the bytes that passed the stream
        std::function<stream_traffic()> traffic;
        // Speaks the protocol on it
        kj::Own<capnp::TwoPartyClient> client;
        // The other host
        std::optional<schema::Node::Client> node;
        // Waits for the end of the connection
        kj::Maybe<kj::Promise<void>> end;
        // Waits for the other host's first message
        kj::Maybe<kj::Promise<void>> hello;
    };

    // Registers a call and sends it if the connection is open
    void begin(call_number number, open_call call, duration timeout);
    // Sends a registered call
    void send(open_call& call);
    // Opens the connection
    void connect();
    // Continues with a connected socket
    template <class Socket>
    void take(std::unique_ptr<Socket> socket);
    // Judges the other host's first message and sends what waits
    void welcome(node_hello const& hello);
    // The connection could not be opened, or it ended
    void lost(char const* reason);
    // No reply came in time
    void expire(call_number number);
    // Ends a call without a reply
    void fail(call_number number, std::error_code error);
    // Ends a call: its promise is dropped later, since it may be running now
    open_call remove(call_number number);
    // Closes the connection if there were no calls
    void watch_idle();
    // Drops the connection later, since it may be running now
    void retire_connection();
    // The error of a call that ended by an exception
    static std::error_code to_error(kj::Exception const& exception);

    // The control thread
    boost::asio::io_context& control_;
    // Settings
    options options_;
    // What the link does
    state state_ = state::closed;
    // Number of the current attempt to connect; handlers of older ones do nothing
    std::uint64_t attempt_ = 0;
    // Limits the time of an attempt, and waits between attempts
    boost::asio::steady_timer timer_;
    // Waits for the connection to be idle
    boost::asio::steady_timer idle_timer_;
    // Delays between attempts
    back_off delays_;
    // The connection
    connection connection_;
    // Bytes that passed in connections before
    stream_traffic past_traffic_;
    // Calls without reply; a call is sent when its promise is set
    std::map<call_number, open_call> calls_;
    // Number of the latest call
    call_number last_call_ = 0;
    // Number of the latest call when the idle timer was set
    call_number idle_mark_ = 0;
    // Calls in a row that had no reply
    std::uint32_t timeouts_ = 0;
};

template <class Request>
call_number peer_link::call(Request const& request, duration timeout,
                            call_handler<typename node_method<Request>::reply> handler)
{
    using reply_type = typename node_method<Request>::reply;
    auto const number = ++last_call_;
    open_call call;
    call.fail = [handler](std::error_code error) { handler(error, reply_type{}); };
    call.start = [this, weak = weak_from_this(), number, request, handler]
    {
        auto message = node_method<Request>::start(*connection_.node);
        encode(request, message.initRequest());
        auto take_reply = [weak, number, handler](auto&& response)
        {
            auto const self = weak.lock();
            if (!self)
                return;
            reply_type reply;
            decode(response.getReply(), reply);
            self->timeouts_ = 0;
            auto const ended = self->remove(number);
            handler({}, reply);
        };
        auto take_failure = [weak, number](kj::Exception&& exception)
        {
            if (auto const self = weak.lock())
                self->fail(number, to_error(exception));
        };
        return message.send()
            .then(kj::mv(take_reply))
            .catch_(kj::mv(take_failure))
            .eagerlyEvaluate(nullptr);
    };
    begin(number, std::move(call), timeout);
    return number;
}

} // namespace marjorampath::serving
