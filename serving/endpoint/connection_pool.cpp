#include <serving/clock/boot_time.hpp>
#include <serving/endpoint/connection_pool.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

// Whether an idle connection is open and has no unread bytes
bool is_reusable(tcp::socket& socket) noexcept
{
    char byte = 0;
    auto const received =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

connection_pool::connection_pool(asio::any_io_executor executor,
                                 connection_pool_options options)
    : executor_(std::move(executor)), options_(std::move(options))
{
}

endpoint_connection connection_pool::take_idle(directory_entry const& endpoint,
                                               duration max_idle)
{
    auto const found = idle_.find(endpoint.id);
    if (found == idle_.end())
        return nullptr;

    auto const min_idle_since = boot_now() - std::min(max_idle, options_.max_idle_time);
    auto& connections = found->second;
    while (!connections.empty())
    {
        auto const last = std::move(connections.back());
        connections.pop_back();
        --idle_count_;
        if (last.idle_since < min_idle_since || last.address != endpoint.address ||
            !is_reusable(*last.connection))
            continue;
        last.connection->place.on_working(last.idle_since);
        return last.connection;
    }
    idle_.erase(found);
    return nullptr;
}

endpoint_connection connection_pool::make_socket() const
{
    auto connection = std::make_shared<endpoint_socket>(executor_);
    boost::system::error_code ignored;
    if (options_.resources)
    {
        auto const admitted =
            connection->place.open(options_.resources, connection_class::endpoints,
                                   [socket = connection.get()](budget_event)
                                   {
                                       boost::system::error_code failed;
                                       socket->close(failed);
                                   });
        if (admitted != admission::admitted)
            return nullptr;
        connection->place.on_working({});
        connection->open(tcp::v4(), ignored);
        connection->set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    }
    if (!options_.source)
        return connection;

    // An address that cannot be used shows when the socket connects. The port is chosen
    // then too, so that connections to different endpoints can share one
    int const enabled = 1;
    if (!connection->is_open())
        connection->open(tcp::v4(), ignored);
    ::setsockopt(connection->native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT,
                 &enabled, sizeof(enabled));
    connection->bind({*options_.source, 0}, ignored);
    return connection;
}

asio::awaitable<boost::system::error_code>
connection_pool::connect(endpoint_connection connection, tcp::endpoint address)
{
    boost::system::error_code error;
    co_await connection->async_connect(address,
                                       asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return error;
    connection->set_option(tcp::no_delay(true), error);
    if (!error)
        connection->non_blocking(true, error);
    co_return error;
}

void connection_pool::put_back(directory_entry const& endpoint,
                               endpoint_connection connection)
{
    put_back(endpoint, std::move(connection), boot_now());
}

void connection_pool::put_back(directory_entry const& endpoint,
                               endpoint_connection connection, time_point idle_since)
{
    if (idle_count_ >= options_.max_idle)
        drop_stale();
    if (idle_count_ >= options_.max_idle)
        return;
    auto& connections = idle_[endpoint.id];
    if (connections.size() >= options_.max_idle_per_endpoint)
        return;
    connection->place.on_idle(idle_since);
    connections.push_back({.connection = std::move(connection),
                           .idle_since = idle_since,
                           .address = endpoint.address});
    ++idle_count_;
}

void connection_pool::drop_stale()
{
    auto const min_idle_since = boot_now() - options_.max_idle_time;
    for (auto& [endpoint, connections] : idle_)
        idle_count_ -= std::erase_if(connections,
                                     [&](idle_connection const& each) {
                                         return each.idle_since < min_idle_since ||
                                                !is_reusable(*each.connection);
                                     });
    std::erase_if(idle_, [](auto const& each) { return each.second.empty(); });
}

} // namespace marjorampath::serving
