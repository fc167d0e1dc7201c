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

/// Receives the reply of a call, or the error if there is none.
template <class Reply>
using call_handler = std::function<void(std::error_code, Reply const&)>;

/// Identifies an open call of one link; zero for none.
using call_number = std::uint64_t;

/// RPC client for one other host. Its single connection is opened by the first call,
/// kept, closed when idle, and opened again by the next call; after a failure, only once
/// a jittered delay has passed.
///
/// During such a delay calls fail immediately as `unreachable`. Used on the control
/// thread only; must be owned by a shared_ptr.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    /// How to construct a peer_link.
    struct options
    {
        /// Address of the other host's node port.
        boost::asio::ip::tcp::endpoint address = {};
        /// The other host; if the node at the address identifies itself as a different
        /// host, the connection is closed.
        host_id peer = {};
        /// This host's first message on each connection.
        node_hello self = {};
        /// TLS with the certificate of this host; null for a connection without TLS.
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr;
        /// Time limit for opening a connection, including the TLS handshake and the
        /// hello.
        std::chrono::milliseconds connect_timeout{500};
        /// Time without calls after which the connection is closed; it may stay open up
        /// to twice as long.
        std::chrono::milliseconds idle_timeout{60'000};
        /// Largest number of calls without a reply; further ones fail as `overloaded`.
        std::size_t max_calls = 8192;
        /// Largest number of queued bytes to send; while more are queued, calls fail as
        /// `overloaded`.
        std::size_t max_unsent_bytes = 32 << 20;
        /// Number of consecutive calls that time out before the connection is closed.
        std::uint32_t max_consecutive_timeouts = 3;
        /// Delays before the connection is opened again after a failure.
        back_off::options delays{.first = std::chrono::milliseconds(50),
                                 .largest = std::chrono::milliseconds(1000)};
    };

    /// Does not connect yet. The thread must have a kj_loop.
    peer_link(boost::asio::io_context& control, options chosen);
    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Calls the other host. The handler is called once, never before this function
    /// returns, unless the call is cancelled.
    template <class Request>
    call_number call(Request const& request, duration timeout,
                     call_handler<typename node_method<Request>::reply> handler);

    /// Cancels a call; its handler is not called. The other host is notified.
    void cancel(call_number number);

    /// Closes the connection; pending calls fail. The next call opens it again.
    void close();

    /// Whether the connection is open.
    [[nodiscard]] bool is_open() const noexcept
    {
        return state_ == state::open;
    }

    /// Bytes sent and received over all connections so far.
    [[nodiscard]] stream_traffic traffic() const noexcept;

    /// Address that the link connects to.
    [[nodiscard]] boost::asio::ip::tcp::endpoint const& address() const noexcept
    {
        return options_.address;
    }

private:
    /// State of the connection.
    enum class state : std::uint8_t
    {
        closed,
        connecting,
        open,
        backing_off
    };

    /// A call without a reply.
    struct open_call
    {
        // Sends the call
        std::function<kj::Promise<void>()> start;
        // Calls the handler with an error
        std::function<void(std::error_code)> fail;
        // Limits the time to the reply
        std::unique_ptr<boost::asio::steady_timer> timer;
        // Promise of the sent call; null until it is sent
        kj::Maybe<kj::Promise<void>> promise;
    };

    /// The parts of one connection; each depends on those before it.
    struct connection
    {
        kj::Own<kj::AsyncIoStream> stream;
        // Returns the traffic of the stream
        std::function<stream_traffic()> traffic;
        // RPC client on the stream
        kj::Own<capnp::TwoPartyClient> client;
        // RPC interface of the other host
        std::optional<schema::Node::Client> node;
        // Resolves when the connection ends
        kj::Maybe<kj::Promise<void>> end;
        // Resolves with the other host's first message
        kj::Maybe<kj::Promise<void>> hello;
    };

    // Registers a call and sends it if the connection is open
    void start_call(call_number number, open_call call, duration timeout);
    // Sends a registered call
    void send(open_call& call);
    // Opens the connection
    void connect();
    // Starts the RPC client on a connected socket and sends the hello
    template <class Socket>
    void start_session(std::unique_ptr<Socket> socket);
    // Checks the other host's first message, then sends the registered calls
    void accept_hello(node_hello const& hello);
    // Handles the end of the connection, or a failure to open it
    void on_connection_lost(char const* reason);
    // Fails a call that got no reply in time
    void on_timeout(call_number number);
    // Ends a call with an error
    void fail(call_number number, std::error_code error);
    // Removes a call; destroys its promise later, since it may be running now
    open_call remove(call_number number);
    // Starts the timer that closes the connection if there are no calls
    void start_idle_timer();
    // Destroys the connection later, since its code may be running now
    void drop_connection();
    // Maps an exception of the RPC library to an error
    static std::error_code to_error(kj::Exception const& exception);

    // The control thread
    boost::asio::io_context& control_;
    options options_;
    // State of the connection
    state state_ = state::closed;
    // Number of the current attempt to connect; handlers of older ones do nothing
    std::uint64_t attempt_ = 0;
    // Limits the time of an attempt to connect, and times the delay after a failure
    boost::asio::steady_timer timer_;
    // Times the check whether the connection is idle
    boost::asio::steady_timer idle_timer_;
    // Delays between attempts
    back_off delays_;
    // The current connection; empty if there is none
    connection connection_;
    // Traffic of earlier connections
    stream_traffic closed_traffic_;
    // Calls without a reply; a call was sent if its promise is set
    std::map<call_number, open_call> calls_;
    // Number of the latest call
    call_number last_call_ = 0;
    // Number of the latest call when the idle timer was started
    call_number idle_check_call_ = 0;
    // Number of consecutive sent calls that timed out
    std::uint32_t consecutive_timeouts_ = 0;
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
        auto on_reply = [weak, number, handler](auto&& response)
        {
            auto const self = weak.lock();
            if (!self)
                return;
            reply_type reply;
            decode(response.getReply(), reply);
            self->consecutive_timeouts_ = 0;
            auto const ended = self->remove(number);
            handler({}, reply);
        };
        auto on_failure = [weak, number](kj::Exception&& exception)
        {
            if (auto const self = weak.lock())
                self->fail(number, to_error(exception));
        };
        return message.send()
            .then(kj::mv(on_reply))
            .catch_(kj::mv(on_failure))
            .eagerlyEvaluate(nullptr);
    };
    start_call(number, std::move(call), timeout);
    return number;
}

} // namespace marjorampath::serving
