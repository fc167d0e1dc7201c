#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>

#include <kj/async-io.h>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace marjorampath::serving
{

/// Sockets of a TCP connection without and with TLS.
using plain_socket = boost::asio::ip::tcp::socket;
using tls_socket = boost::asio::ssl::stream<boost::asio::ip::tcp::socket>;

/// Number of bytes that passed through a stream.
struct stream_traffic
{
    /// Bytes received.
    std::uint64_t received = 0;
    /// Bytes sent.
    std::uint64_t sent = 0;
};

/// Implements the RPC library's byte stream on an Asio socket.
///
/// Reads and writes go through internal buffers, so that a promise may be dropped while
/// the socket operation is in progress, and so that all messages of one event-loop turn
/// share a system call. A write completes at once if little is buffered, otherwise when
/// all buffered bytes were sent.
template <class Socket>
class asio_stream final : public kj::AsyncIoStream
{
public:
    /// Takes ownership of a connected socket; a TLS socket has completed its handshake.
    explicit asio_stream(std::unique_ptr<Socket> socket);
    ~asio_stream() noexcept(false);

    /// Bytes received and sent so far.
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

    // Shared with pending handlers of the socket
    std::shared_ptr<connection> connection_;
};

extern template class asio_stream<plain_socket>;
extern template class asio_stream<tls_socket>;

} // namespace marjorampath::serving
