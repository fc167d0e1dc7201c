#pragma once

#include <serving/entry/peer_codec.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/udp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace marjorampath::test
{

/// The datagrams between up to 64 entry nodes on loopback, which can be cut.
///
/// Each node has an own address, and a public one at which the others reach it. All
/// datagrams to public addresses arrive here and are forwarded; the own address in a
/// node's heartbeat is replaced by its public one.
class peer_network
{
public:
    /// Opens the public addresses of some nodes on one port and forwards from a thread of
    /// its own. Throws boost::system::system_error on failure.
    peer_network(std::size_t nodes, std::uint16_t port);

    /// Stops forwarding.
    ~peer_network();

    peer_network(peer_network const&) = delete;
    peer_network& operator=(peer_network const&) = delete;

    /// Address that a node binds to.
    static boost::asio::ip::address_v4 own_address(std::size_t node);

    /// Address at which the others reach it.
    static boost::asio::ip::address_v4 public_address(std::size_t node);

    /// Cuts nodes off from all others, but not from each other; none ends the cut.
    void cut(std::set<std::size_t> const& nodes);

private:
    using udp = boost::asio::ip::udp;

    boost::asio::awaitable<void> forward(std::size_t to);
    // The node that an own address belongs to
    [[nodiscard]] std::optional<std::size_t> node_of(udp::endpoint const& address) const;
    // A datagram as the other nodes get it
    static std::string with_public_address(std::string_view bytes);
    [[nodiscard]] bool is_cut(std::size_t from, std::size_t to) const;

    boost::asio::io_context loop_{1};
    std::uint16_t port_;
    // By node, bound to its public address
    std::vector<udp::socket> sockets_;
    // The nodes that are cut off, by bits
    std::atomic<std::uint64_t> cut_nodes_ = 0;
    std::thread thread_;
};

} // namespace marjorampath::test
