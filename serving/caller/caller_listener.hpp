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

/// Accepts callers' connections on one traffic thread. Several threads listen on the same
/// address; the kernel distributes the connections among them (SO_REUSEPORT).
class caller_listener
{
public:
    /// Creates a listener that does not listen yet. The context must outlive it.
    explicit caller_listener(caller_context& context);
    ~caller_listener();
    caller_listener(caller_listener const&) = delete;
    caller_listener& operator=(caller_listener const&) = delete;

    /// Listens on an address; port 0 selects a free port. Must be called before the
    /// thread's event loop runs.
    boost::system::error_code listen(boost::asio::ip::tcp::endpoint const& address);

    /// The address being listened on.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

    /// Starts accepting connections and closing expired ones.
    void start();

    /// Stops accepting and closes each connection after its current answer. Calls
    /// `drained` when no connection is left.
    void stop(std::function<void()> drained);

    /// Number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return sessions_.size();
    }

private:
    // Accepts until the acceptor is closed
    boost::asio::awaitable<void> accept();

    // Closes the connections whose time limit has passed and schedules the next check
    void close_expired_sessions();

    // Starts a session for an accepted connection, or closes it at the connection limit
    void serve(boost::asio::ip::tcp::socket socket);

    // Accepts the connections that wait in the kernel's accept queue
    void accept_backlog();

    // A copy of the open connections, because closing one may change the set
    [[nodiscard]] std::vector<std::shared_ptr<caller_session>> open_sessions() const;

    // Removes a connection that has ended
    void remove_session(std::shared_ptr<caller_session> const& session);

    // Shared state of this thread; not owned
    caller_context* context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    // Triggers the next expiry check
    boost::asio::steady_timer expiry_timer_;
    // Open connections
    std::unordered_set<std::shared_ptr<caller_session>> sessions_;
    // Called once when no connection is left after `stop`; empty before `stop`
    std::function<void()> drained_;
};

} // namespace marjorampath::serving
