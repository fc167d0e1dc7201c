#include <serving/link/asio_stream.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <kj/debug.h>

#include <algorithm>
#include <cstring>
#include <utility>
#include <vector>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;

/// Size of the receive buffer, in bytes.
constexpr std::size_t receive_buffer_bytes = 16'384;
/// A write that leaves more bytes than this buffered completes only when all are sent.
constexpr std::size_t max_eager_write_bytes = 65'536;

kj::Exception disconnected(char const* text)
{
    return {kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(text)};
}

} // namespace

/// The socket and its buffers; lives until the last handler has run.
template <class Socket>
struct asio_stream<Socket>::connection
    : public std::enable_shared_from_this<typename asio_stream<Socket>::connection>
{
    explicit connection(std::unique_ptr<Socket> connected) : socket(std::move(connected))
    {
        received.resize(receive_buffer_bytes);
    }

    // Passes received bytes to the pending read, and receives more if it needs them
    void serve();
    // Starts one receive operation
    void receive();
    // Schedules `flush` for when the current turn of the event loop has ended
    void flush_later();
    // Sends the queued bytes
    void flush();
    // Closes both directions and ends all pending operations
    void fail();

    std::unique_ptr<Socket> socket;
    // Receive buffer
    std::vector<kj::byte> received;
    // Range of received bytes that were not read yet: [begin, end)
    std::size_t begin = 0;
    std::size_t end = 0;
    // Pending read, or null
    reader* pending_read = nullptr;
    // Whether a receive operation is in progress
    bool receiving = false;
    // Whether the connection was closed by either side or has failed
    bool ended = false;
    // Bytes that wait for the next send operation
    std::vector<kj::byte> queued;
    // Bytes of the current send operation
    std::vector<kj::byte> sending;
    // Whether a flush is scheduled or in progress
    bool flushing = false;
    // Whether to close the connection after the last queued byte
    bool shutdown_requested = false;
    // Fulfilled when all queued bytes were sent
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> flush_fulfillers;
    // Fulfilled when the connection has ended
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> disconnect_fulfillers;
    // Bytes received and sent
    stream_traffic traffic;
};

/// A pending read; owned by its promise.
template <class Socket>
class asio_stream<Socket>::reader
{
public:
    reader(kj::PromiseFulfiller<std::size_t>& fulfiller, connection& source, void* buffer,
           std::size_t minimum, std::size_t maximum)
        : fulfiller_(fulfiller), source_(source.shared_from_this()),
          buffer_(static_cast<kj::byte*>(buffer)), minimum_(minimum), maximum_(maximum)
    {
        source.pending_read = this;
        source.serve();
    }

    ~reader()
    {
        if (source_->pending_read == this)
            source_->pending_read = nullptr;
    }

    reader(reader const&) = delete;
    reader& operator=(reader const&) = delete;

    // Copies received bytes to the caller's buffer; whether the read is complete
    bool copy_received()
    {
        auto const size = std::min(maximum_ - copied_, source_->end - source_->begin);
        std::memcpy(buffer_ + copied_, source_->received.data() + source_->begin, size);
        source_->begin += size;
        copied_ += size;
        return copied_ >= minimum_ || source_->ended;
    }

    // Completes the read
    void finish()
    {
        source_->pending_read = nullptr;
        fulfiller_.fulfill(std::size_t(copied_));
    }

private:
    // Receives the number of bytes read
    kj::PromiseFulfiller<std::size_t>& fulfiller_;
    // Connection that is read from
    std::shared_ptr<connection> source_;
    // The caller's buffer
    kj::byte* buffer_;
    // Smallest number of bytes that completes the read
    std::size_t minimum_;
    // Size of the caller's buffer
    std::size_t maximum_;
    // Bytes copied so far
    std::size_t copied_ = 0;
};

template <class Socket>
void asio_stream<Socket>::connection::serve()
{
    if (pending_read == nullptr)
        return;
    if (pending_read->copy_received())
        pending_read->finish();
    else
        receive();
}

template <class Socket>
void asio_stream<Socket>::connection::receive()
{
    if (receiving || ended)
        return;
    receiving = true;
    socket->async_read_some(asio::buffer(received),
                            [self = this->shared_from_this()](
                                boost::system::error_code error, std::size_t size)
                            {
                                self->receiving = false;
                                self->begin = 0;
                                self->end = size;
                                self->traffic.received += size;
                                if (error)
                                    self->fail();
                                self->serve();
                            });
}

template <class Socket>
void asio_stream<Socket>::connection::flush_later()
{
    if (flushing)
        return;
    flushing = true;
    asio::post(socket->get_executor(),
               [self = this->shared_from_this()] { self->flush(); });
}

template <class Socket>
void asio_stream<Socket>::connection::flush()
{
    if (ended || queued.empty())
    {
        flushing = false;
        for (auto& fulfiller : std::exchange(flush_fulfillers, {}))
            fulfiller->fulfill();
        if (shutdown_requested)
            fail();
        return;
    }
    sending.swap(queued);
    queued.clear();
    asio::async_write(*socket, asio::buffer(sending),
                      [self = this->shared_from_this()](boost::system::error_code error,
                                                        std::size_t size)
                      {
                          self->traffic.sent += size;
                          if (error)
                              self->fail();
                          self->flush();
                      });
}

template <class Socket>
void asio_stream<Socket>::connection::fail()
{
    if (std::exchange(ended, true))
        return;
    boost::system::error_code ignored;
    socket->lowest_layer().close(ignored);
    queued.clear();
    for (auto& fulfiller : std::exchange(flush_fulfillers, {}))
        fulfiller->reject(disconnected("the connection failed"));
    for (auto& fulfiller : std::exchange(disconnect_fulfillers, {}))
        fulfiller->fulfill();
    serve();
}

template <class Socket>
asio_stream<Socket>::asio_stream(std::unique_ptr<Socket> socket)
    : connection_(std::make_shared<connection>(std::move(socket)))
{
}

template <class Socket>
asio_stream<Socket>::~asio_stream() noexcept(false)
{
    close();
}

template <class Socket>
stream_traffic asio_stream<Socket>::traffic() const noexcept
{
    return connection_->traffic;
}

template <class Socket>
void asio_stream<Socket>::close() noexcept
{
    connection_->fail();
}

template <class Socket>
kj::Promise<std::size_t> asio_stream<Socket>::tryRead(void* buffer, std::size_t minimum,
                                                      std::size_t maximum)
{
    return kj::newAdaptedPromise<std::size_t, reader>(*connection_, buffer, minimum,
                                                      maximum);
}

template <class Socket>
kj::Promise<void> asio_stream<Socket>::write(void const* buffer, std::size_t size)
{
    kj::ArrayPtr<kj::byte const> const piece(static_cast<kj::byte const*>(buffer), size);
    return write(kj::ArrayPtr<kj::ArrayPtr<kj::byte const> const>(&piece, 1));
}

template <class Socket>
kj::Promise<void>
asio_stream<Socket>::write(kj::ArrayPtr<kj::ArrayPtr<kj::byte const> const> pieces)
{
    auto& target = *connection_;
    if (target.ended || target.shutdown_requested)
        return disconnected("the connection is closed");
    for (auto const& piece : pieces)
        target.queued.insert(target.queued.end(), piece.begin(), piece.end());
    target.flush_later();
    if (target.queued.size() <= max_eager_write_bytes)
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    target.flush_fulfillers.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

template <class Socket>
kj::Promise<void> asio_stream<Socket>::whenWriteDisconnected()
{
    if (connection_->ended)
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    connection_->disconnect_fulfillers.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

template <class Socket>
void asio_stream<Socket>::shutdownWrite()
{
    // The RPC library closes a connection as a whole, so the other direction closes too
    connection_->shutdown_requested = true;
    connection_->flush_later();
}

template <class Socket>
void asio_stream<Socket>::abortRead()
{
    connection_->fail();
}

template class asio_stream<plain_socket>;
template class asio_stream<tls_socket>;

} // namespace marjorampath::serving
