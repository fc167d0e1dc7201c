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

/// Cap'n Proto messages on an Asio socket, without the RPC protocol: each is preceded by
/// its length in bytes. The way that the RPC is compared with.
class message_pipe
{
public:
    /// Called with each message received.
    using handler = std::function<void(capnp::MessageReader&)>;

    /// Takes a connected socket over.
    message_pipe(boost::asio::ip::tcp::socket socket, handler on_message);

    /// Begins to receive.
    void start();

    /// Queues a message; the messages of one turn share a system call.
    void send(capnp::MessageBuilder& message);

private:
    // Receives
    void receive();
    // Hands over what was received whole
    void deliver();
    // Sends what was queued
    void flush();

    // The connection
    boost::asio::ip::tcp::socket socket_;
    // Receives messages
    handler on_message_;
    // Bytes received last
    std::array<std::byte, 16'384> buffer_{};
    // Bytes of messages that are not whole yet
    std::vector<std::byte> received_;
    // Bytes to be sent next, and those being sent
    std::vector<std::byte> queued_;
    std::vector<std::byte> sending_;
    // Whether a send is posted or in progress
    bool busy_ = false;
};

} // namespace marjorampath::bench
