#include <programs/marjorampath-bench/link_messages.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <capnp/serialize.h>

#include <cstdint>
#include <cstring>
#include <utility>

namespace marjorampath::bench
{

namespace asio = boost::asio;

message_pipe::message_pipe(asio::ip::tcp::socket socket, handler on_message)
    : socket_(std::move(socket)), on_message_(std::move(on_message))
{
    socket_.set_option(asio::ip::tcp::no_delay(true));
}

void message_pipe::start()
{
    receive();
}

void message_pipe::send(capnp::MessageBuilder& message)
{
    auto const words = capnp::messageToFlatArray(message);
    auto const bytes = words.asBytes();
    std::uint64_t const size = bytes.size();
    auto const* const header = reinterpret_cast<std::byte const*>(&size);
    auto const* const body = reinterpret_cast<std::byte const*>(bytes.begin());
    queued_.insert(queued_.end(), header, header + sizeof size);
    queued_.insert(queued_.end(), body, body + size);
    if (std::exchange(busy_, true))
        return;
    asio::post(socket_.get_executor(), [this] { flush(); });
}

void message_pipe::receive()
{
    socket_.async_read_some(asio::buffer(buffer_),
                            [this](boost::system::error_code error, std::size_t size)
                            {
                                if (error)
                                    return;
                                received_.insert(received_.end(), buffer_.begin(),
                                                 buffer_.begin() +
                                                     static_cast<std::ptrdiff_t>(size));
                                deliver();
                                receive();
                            });
}

void message_pipe::deliver()
{
    std::size_t position = 0;
    std::uint64_t size = 0;
    while (received_.size() - position >= sizeof size)
    {
        std::memcpy(&size, received_.data() + position, sizeof size);
        if (received_.size() - position - sizeof size < size)
            break;
        position += sizeof size;
        kj::ArrayPtr<capnp::word const> const words(
            reinterpret_cast<capnp::word const*>(received_.data() + position),
            size / sizeof(capnp::word));
        capnp::FlatArrayMessageReader reader(words);
        on_message_(reader);
        position += size;
    }
    received_.erase(received_.begin(),
                    received_.begin() + static_cast<std::ptrdiff_t>(position));
}

void message_pipe::flush()
{
    if (queued_.empty())
    {
        busy_ = false;
        return;
    }
    sending_.swap(queued_);
    queued_.clear();
    asio::async_write(socket_, asio::buffer(sending_),
                      [this](boost::system::error_code error, std::size_t)
                      {
                          if (!error)
                              flush();
                      });
}

} // namespace marjorampath::bench
