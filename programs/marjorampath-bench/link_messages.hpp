#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <capnp/message.h>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace marjorampath::bench
{

/// Cap'n Proto messages on an Asio socket without the RPC protocol, as a baseline for the
/// RPC. Each message is preceded by its length in bytes.
class message_pipe
{
public:
    /// Called with each message received.
    using handler = std::function<void(capnp::MessageReader&)>;

    /// Takes ownership of a connected socket.
    message_pipe(boost::asio::ip::tcp::socket socket, handler on_message);

    /// Starts receiving.
    void start();

    /// Queues a message; messages queued in the same turn of the event loop share one
    /// system call.
    void send(capnp::MessageBuilder& message);

private:
    // Reads the next bytes from the socket
    void receive();
    // Passes all complete messages to the handler
    void deliver();
    // Sends the queued bytes
    void flush();

    boost::asio::ip::tcp::socket socket_;
    // Called with each message
    handler on_message_;
    // Buffer of one read
    std::array<std::byte, 16'384> buffer_{};
    // Received bytes that do not form a complete message yet
    std::vector<std::byte> received_;
    // Bytes to send next, and bytes being sent
    std::vector<std::byte> queued_;
    std::vector<std::byte> sending_;
    // Whether a send is posted or in progress
    bool busy_ = false;
};

} // namespace marjorampath::bench
