#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>

namespace marjorampath::test
{

/// What a proxy does to the bytes of its connections.
enum class link_state : std::uint8_t
{
    /// They pass.
    open,
    /// Each piece waits.
    delayed,
    /// None passes; connections stay open.
    silent,
    /// None passes towards the target.
    cut_to_target,
    /// None passes towards the caller.
    cut_to_caller
};

/// A TCP proxy on loopback that stands in for a bad network. Bytes that a state holds
/// back pass once it is over, as a network sends them again.
class fault_proxy
{
public:
    /// Listens on a free port; runs on `context`, from whose thread everything is done.
    fault_proxy(boost::asio::io_context& context,
                boost::asio::ip::tcp::endpoint const& target);

    /// Where callers connect.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

    /// Sends new connections elsewhere. From any thread.
    void set_target(boost::asio::ip::tcp::endpoint const& target);

    /// Changes the state of all connections. From any thread.
    void set_state(link_state state)
    {
        state_ = state;
    }

    /// Resets all connections. From any thread.
    void reset();

private:
    using tcp = boost::asio::ip::tcp;
    struct connection;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> open(std::shared_ptr<connection> made);
    boost::asio::awaitable<void> carry(std::shared_ptr<connection> carried,
                                       bool to_target);
    // Waits as long as the state holds a direction's bytes back
    boost::asio::awaitable<void> hold(bool to_target);

    boost::asio::io_context& context_;
    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    std::atomic<link_state> state_ = link_state::open;
    std::set<std::shared_ptr<connection>> connections_;
};

} // namespace marjorampath::test
