#include <tests/process/peer_network.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <bitset>
#include <utility>
#include <variant>

namespace marjorampath::test
{

namespace
{

namespace asio = boost::asio;

// 127.60.0.1 and on; public addresses follow 127.61.0.1
constexpr std::uint32_t first_address = 0x7f3c0001;
constexpr std::uint32_t public_offset = 0x00010000;
constexpr std::size_t max_nodes = 64;

} // namespace

asio::ip::address_v4 peer_network::own_address(std::size_t node)
{
    return asio::ip::address_v4(first_address + static_cast<std::uint32_t>(node));
}

asio::ip::address_v4 peer_network::public_address(std::size_t node)
{
    return asio::ip::address_v4(own_address(node).to_uint() + public_offset);
}

peer_network::peer_network(std::size_t nodes, std::uint16_t port) : port_(port)
{
    for (std::size_t node = 0; node < nodes; ++node)
        sockets_.emplace_back(loop_, udp::endpoint(public_address(node), port));
    for (std::size_t node = 0; node < nodes; ++node)
        asio::co_spawn(loop_, forward(node), asio::detached);
    thread_ = std::thread([this] { loop_.run(); });
}

peer_network::~peer_network()
{
    loop_.stop();
    thread_.join();
}

std::optional<std::size_t> peer_network::node_of(udp::endpoint const& address) const
{
    auto const index = address.address().to_v4().to_uint() - first_address;
    return index < sockets_.size() ? std::optional<std::size_t>(index) : std::nullopt;
}

bool peer_network::is_cut(std::size_t from, std::size_t to) const
{
    std::bitset<max_nodes> const cut(cut_nodes_);
    return cut[from] != cut[to];
}

void peer_network::cut(std::set<std::size_t> const& nodes)
{
    std::bitset<max_nodes> cut;
    for (auto const node : nodes)
        cut.set(node);
    cut_nodes_ = cut.to_ullong();
}

std::string peer_network::with_public_address(std::string_view bytes)
{
    auto message = serving::decode_peer_message(bytes);
    auto* heartbeat = message ? std::get_if<peer_heartbeat>(&*message) : nullptr;
    if (!heartbeat)
        return std::string(bytes);
    heartbeat->address.address += public_offset;
    return serving::encode_peer_message(*message);
}

asio::awaitable<void> peer_network::forward(std::size_t to)
{
    constexpr std::size_t max_datagram_bytes = 65'536;
    std::vector<char> buffer(max_datagram_bytes);
    while (true)
    {
        udp::endpoint sender;
        boost::system::error_code error;
        auto const size = co_await sockets_[to].async_receive_from(
            asio::buffer(buffer), sender,
            asio::redirect_error(asio::use_awaitable, error));
        auto const from = error ? std::nullopt : node_of(sender);
        if (!from || is_cut(*from, to))
            continue;
        auto const bytes = with_public_address({buffer.data(), size});

        // Answers go to the address that a datagram came from
        sockets_[*from].send_to(asio::buffer(bytes), {own_address(to), port_}, 0, error);
    }
}

} // namespace marjorampath::test
