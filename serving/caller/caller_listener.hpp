#pragma once

#include <serving/caller/caller_context.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

namespace marjorampath::serving
{

class caller_session;

/// Accepts callers' connections on one traffic thread. Several threads listen on one
/// address; the kernel spreads the connections over them (SO_REUSEPORT).
class caller_listener
{
public:
    /// Makes a listener that does not listen yet. The context outlives it.
    explicit caller_listener(caller_context& context);
    ~caller_listener();
    caller_listener(caller_listener const&) = delete;
    caller_listener& operator=(caller_listener const&) = delete;

    /// Listens on an address; port 0 chooses one. To be called before the thread runs.
    boost::system::error_code listen(boost::asio::ip::tcp::endpoint const& address);

    /// The address that is listened on.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

    /// Starts accepting.
    void start();

    /// Accepts no more and closes each connection behind its current answer. Calls
    /// `drained` when none is left.
    void stop(std::function<void()> drained);

    /// Number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return sessions_.size();
    }

private:
    // Accepts until the acceptor is closed
    boost::asio::awaitable<void> accept();

    // Closes connections whose time is over, again and again
    void sweep();

    // Serves an accepted connection
    void serve(boost::asio::ip::tcp::socket socket);

    // Takes the connections that the kernel has accepted already
    void empty_backlog();

    // The open connections; a copy, since closing one changes the set
    [[nodiscard]] std::vector<std::shared_ptr<caller_session>> open_sessions() const;

    // Forgets a connection that has ended
    void forget(std::shared_ptr<caller_session> const& session);

    // This thread
    caller_context* context_;
    // Listening socket
    boost::asio::ip::tcp::acceptor acceptor_;
    // Paces the sweeps
    boost::asio::steady_timer sweep_timer_;
    // Open connections
    std::unordered_set<std::shared_ptr<caller_session>> sessions_;
    // Called when no connection is left
    std::function<void()> drained_;
};

} // namespace marjorampath::serving
