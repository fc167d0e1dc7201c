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
        /// Address to listen on; port 0 selects a free port.
        boost::asio::ip::tcp::endpoint address = {};
        /// TLS with the certificate of this host; null to accept without TLS.
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr;
        /// Largest number of connections; further ones are closed at once.
        std::size_t max_connections = 1024;
        /// Time limit of a TLS handshake; a connection that exceeds it is closed.
        std::chrono::milliseconds handshake_timeout{2000};
    };

    /// Does not listen yet. The thread must have a kj_loop; `service` outlives this
    /// object.
    node_listener(boost::asio::io_context& control, options chosen,
                  node_service const& service);
    ~node_listener();
    node_listener(node_listener const&) = delete;
    node_listener& operator=(node_listener const&) = delete;

    /// Starts listening, or returns why it cannot.
    std::error_code open();

    /// Stops listening and closes all connections.
    void close();

    /// The address that it listens on.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

    /// Number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return *connections_;
    }

private:
    // Starts accepting the next connection
    void accept();
    // Starts the TLS handshake on an accepted socket
    void start_tls_handshake(boost::asio::ip::tcp::socket socket);
    // Serves the calls of a connection
    template <class Socket>
    void serve(std::unique_ptr<Socket> socket);

    // The control thread
    boost::asio::io_context& control_;
    options options_;
    // Accepts connections
    boost::asio::ip::tcp::acceptor acceptor_;
    // Delays accepting after a failure
    boost::asio::steady_timer retry_;
    // Handlers of the calls
    node_service const& service_;
    // RPC server of all connections; null unless open
    std::unique_ptr<capnp::TwoPartyServer> server_;
    // Number of open connections; shared with the connections
    std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
    // Shared with pending handlers; holds null once this object is destroyed
    std::shared_ptr<node_listener*> self_ = std::make_shared<node_listener*>(this);
};

} // namespace marjorampath::serving
