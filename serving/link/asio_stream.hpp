#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>

#include <kj/async-io.h>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace marjorampath::serving
{

/// A TCP connection, and one that TLS protects.
using plain_socket = boost::asio::ip::tcp::socket;
using tls_socket = boost::asio::ssl::stream<boost::asio::ip::tcp::socket>;

/// Bytes that passed a stream.
struct stream_traffic
{
    /// Bytes received.
    std::uint64_t received = 0;
    /// Bytes sent.
    std::uint64_t sent = 0;
};

/// A byte stream of the RPC library over an Asio socket.
///
/// Reads and writes go through buffers of its own, so that a promise may be dropped while
/// the socket is still busy, and so that the messages of one turn share a system call. A
/// write completes at once while the buffer is small, else when it was sent.
template <class Socket>
class asio_stream final : public kj::AsyncIoStream
{
public:
    /// Takes a connected socket over, after its TLS handshake.
    explicit asio_stream(std::unique_ptr<Socket> socket);
    ~asio_stream() noexcept(false);

    /// Bytes that passed so far.
    [[nodiscard]] stream_traffic traffic() const noexcept;

    /// Closes the socket: reads end, writes fail.
    void close() noexcept;

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minimum,
                                     std::size_t maximum) override;
    kj::Promise<void> write(void const* buffer, std::size_t size) override;
    kj::Promise<void>
    write(kj::ArrayPtr<kj::ArrayPtr<kj::byte const> const> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

private:
    struct connection;
    class reader;

    // Shared with the handlers of the socket
    std::shared_ptr<connection> connection_;
};

extern template class asio_stream<plain_socket>;
extern template class asio_stream<tls_socket>;

} // namespace marjorampath::serving
