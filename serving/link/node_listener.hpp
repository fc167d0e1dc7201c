#pragma once

#include <serving/link/node_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <capnp/rpc-twoparty.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <system_error>

namespace marjorampath::serving
{

/// Accepts the connections of other hosts and serves their calls. Used on the control
/// thread only.
class node_listener
{
public:
    /// How to construct a node_listener.
    struct options
    {
        /// Address to listen at; port 0 chooses a free one.
        boost::asio::ip::tcp::endpoint address = {};
        /// TLS with the certificate of this host; null to accept without TLS.
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr;
        /// Largest number of connections; further ones are closed at once.
        std::size_t max_connections = 1024;
        /// Time within which a TLS handshake is finished.
        std::chrono::milliseconds handshake_timeout{2000};
    };

    /// Does not listen yet. A kj_loop exists on the thread; the service outlives it.
    node_listener(boost::asio::io_context& control, options chosen,
                  node_service const& service);
    ~node_listener();
    node_listener(node_listener const&) = delete;
    node_listener& operator=(node_listener const&) = delete;

    /// Begins to listen, or tells why it cannot.
    std::error_code open();

    /// Stops listening and ends all connections.
    void close();

    /// The address that it listens at.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

    /// Number of connections.
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return *connections_;
    }

private:
    // Waits for the next connection
    void accept();
    // Makes a TLS connection of an accepted socket
    void shake_hands(boost::asio::ip::tcp::socket socket);
    // Serves a connection
    template <class Socket>
    void serve(std::unique_ptr<Socket> socket);

    // The control thread
    boost::asio::io_context& control_;
    // Settings
    options options_;
    // Accepts connections
    boost::asio::ip::tcp::acceptor acceptor_;
    // Waits after a failure to accept
    boost::asio::steady_timer retry_;
    // What connections are served by
    node_service const& service_;
    // Connections; null once closed
    std::unique_ptr<capnp::TwoPartyServer> server_;
    // Number of connections; shared with the connections
    std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
    // Lets handlers find out that this object is gone
    std::shared_ptr<node_listener*> self_ = std::make_shared<node_listener*>(this);
};

} // namespace marjorampath::serving
