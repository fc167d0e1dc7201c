#pragma once

#include <tests/process/child_process.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marjorampath::test
{

/// Many clients of one node. Each sends the same bytes on a connection that then stays
/// open, and reads nothing.
class client_crowd
{
public:
    /// How to construct a client_crowd.
    struct options
    {
        std::size_t clients = 1;
        /// What the client of this number sends first.
        std::function<std::string(std::size_t)> head;
        /// What it sends behind that, `repeats` times.
        std::string piece;
        std::size_t repeats = 0;
    };

    /// Connects the clients; they have small receive buffers.
    client_crowd(boost::asio::ip::tcp::endpoint const& node, options values);

    /// Sends until every client has sent all, was cut off, or finds no reader any more.
    void send();

    /// Bytes that all clients sent.
    [[nodiscard]] std::size_t sent() const noexcept
    {
        return sent_;
    }

private:
    struct client
    {
        boost::asio::ip::tcp::socket socket;
        std::string head;
        // Pieces that are sent, including the head
        std::size_t next = 0;
    };

    // Sends a client's next piece
    void send_next(client& each);

    options options_;
    boost::asio::io_context context_;
    std::vector<std::unique_ptr<client>> clients_;
    std::size_t sent_ = 0;
};

/// Bytes that wait to be read at all connections of an address of this machine.
std::size_t unread_bytes(boost::asio::ip::tcp::endpoint const& address);

/// Waits until a node has read what it wants to read: until the bytes that wait at its
/// sockets, its memory and its descriptors stay the same for a while.
void await_settled(child_process const& node);

} // namespace marjorampath::test
