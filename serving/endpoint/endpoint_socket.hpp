#pragma once

#include <serving/resources/resource_place.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace marjorampath::serving
{

/// The socket of a connection to an endpoint, with its place in the host's resource
/// budget.
struct endpoint_socket : boost::asio::ip::tcp::socket
{
    using boost::asio::ip::tcp::socket::socket;

    /// Given back when the socket is destroyed.
    resource_place place;
};

} // namespace marjorampath::serving
