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

/// Size of the receive buffer.
constexpr std::size_t receive_bytes = 16'384;
/// A write that leaves more than this unsent completes only when all was sent.
constexpr std::size_t unsent_bytes = 65'536;

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
    explicit connection(std::unique_ptr<Socket> taken) : socket(std::move(taken))
    {
        received.resize(receive_bytes);
    }

    // Hands received bytes to the waiting reader, and receives more where it needs them
    void serve();
    // Receives once
    void receive();
    // Sends what was queued, once the running turn of the loop has ended
    void flush_later();
    // Sends what was queued
    void flush();
    // Ends both directions
    void fail();

    // The connection
    std::unique_ptr<Socket> socket;
    // Receive buffer
    std::vector<kj::byte> received;
    // Received bytes that were not read yet: [begin, end)
    std::size_t begin = 0;
    std::size_t end = 0;
    // Read in progress, or null
    reader* waiting = nullptr;
    // Whether the socket is receiving
    bool receiving = false;
    // Whether the other side has ended, or the connection has failed
    bool ended = false;
    // Bytes to be sent next
    std::vector<kj::byte> queued;
    // Bytes that are being sent
    std::vector<kj::byte> sending;
    // Whether a send is posted or in progress
    bool busy = false;
    // Whether the sending side is to be shut down after the last byte
    bool shut_down = false;
    // Fulfilled when all was sent
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> senders;
    // Fulfilled when the connection has failed
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> watchers;
    // Bytes that passed
    stream_traffic traffic;
};

/// One read in progress; owned by its promise.
template <class Socket>
class asio_stream<Socket>::reader
{
public:
    reader(kj::PromiseFulfiller<std::size_t>& fulfiller, connection& source, void* buffer,
           std::size_t minimum, std::size_t maximum)
        : fulfiller_(fulfiller), source_(source.shared_from_this()),
          buffer_(static_cast<kj::byte*>(buffer)), minimum_(minimum), maximum_(maximum)
    {
        source.waiting = this;
        source.serve();
    }

    ~reader()
    {
        if (source_->waiting == this)
            source_->waiting = nullptr;
    }

    reader(reader const&) = delete;
    reader& operator=(reader const&) = delete;

    // Takes bytes; whether the read is complete
    bool take()
    {
        auto const size = std::min(maximum_ - taken_, source_->end - source_->begin);
        std::memcpy(buffer_ + taken_, source_->received.data() + source_->begin, size);
        source_->begin += size;
        taken_ += size;
        return taken_ >= minimum_ || source_->ended;
    }

    // Completes the read
    void finish()
    {
        source_->waiting = nullptr;
        fulfiller_.fulfill(std::size_t(taken_));
    }

private:
    // Receives the result
    kj::PromiseFulfiller<std::size_t>& fulfiller_;
    // Where the bytes come from
    std::shared_ptr<connection> source_;
    // Where they go
    kj::byte* buffer_;
    // Smallest number of bytes that completes the read
    std::size_t minimum_;
    // Size of the buffer
    std::size_t maximum_;
    // Bytes taken so far
    std::size_t taken_ = 0;
};

template <class Socket>
void asio_stream<Socket>::connection::serve()
{
    if (waiting == nullptr)
        return;
    if (waiting->take())
        waiting->finish();
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
    if (busy)
        return;
    busy = true;
    asio::post(socket->get_executor(),
               [self = this->shared_from_this()] { self->flush(); });
}

template <class Socket>
void asio_stream<Socket>::connection::flush()
{
    if (ended || queued.empty())
    {
        busy = false;
        for (auto& sender : std::exchange(senders, {}))
            sender->fulfill();
        if (shut_down)
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
    for (auto& sender : std::exchange(senders, {}))
        sender->reject(disconnected("the connection failed"));
    for (auto& watcher : std::exchange(watchers, {}))
        watcher->fulfill();
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
    if (target.ended || target.shut_down)
        return disconnected("the connection is closed");
    for (auto const& piece : pieces)
        target.queued.insert(target.queued.end(), piece.begin(), piece.end());
    target.flush_later();
    if (target.queued.size() <= unsent_bytes)
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    target.senders.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

template <class Socket>
kj::Promise<void> asio_stream<Socket>::whenWriteDisconnected()
{
    if (connection_->ended)
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    connection_->watchers.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

template <class Socket>
void asio_stream<Socket>::shutdownWrite()
{
    // The RPC library ends a connection as a whole, so the other direction ends too
    connection_->shut_down = true;
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
