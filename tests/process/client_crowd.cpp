#include <tests/process/client_crowd.hpp>
#include <tests/process/test_client.hpp>

#include <boost/asio/write.hpp>

#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace marjorampath::test
{

namespace
{

// Receive buffer of a client, in bytes
constexpr int receive_buffer_bytes = 4'096;
// Time without any progress after which nobody reads what the clients send
constexpr auto stall_time = std::chrono::milliseconds(1'500);

} // namespace

client_crowd::client_crowd(boost::asio::ip::tcp::endpoint const& node, options values)
    : options_(std::move(values))
{
    using boost::asio::ip::tcp;
    for (std::size_t index = 0; index < options_.clients; ++index)
    {
        auto added = std::make_unique<client>(
            client{.socket = tcp::socket(context_), .head = options_.head(index)});
        added->socket.open(tcp::v4());
        added->socket.set_option(tcp::socket::receive_buffer_size(receive_buffer_bytes));
        added->socket.connect(node);
        clients_.push_back(std::move(added));
    }
}

void client_crowd::send()
{
    for (auto const& each : clients_)
        send_next(*each);
    while (context_.run_one_for(stall_time) > 0)
    {
    }
}

void client_crowd::send_next(client& each)
{
    if (each.next > options_.repeats)
        return;
    auto const& piece = each.next == 0 ? each.head : options_.piece;
    ++each.next;
    boost::asio::async_write(
        each.socket, boost::asio::buffer(piece),
        [this, &each](boost::system::error_code error, std::size_t size)
        {
            sent_ += size;
            if (!error)
                send_next(each);
        });
}

std::size_t unread_bytes(boost::asio::ip::tcp::endpoint const& address)
{
    // Lines of the form `SL LOCAL_ADDRESS:PORT REMOTE STATE TX_QUEUE:RX_QUEUE ...`, with
    // hexadecimal numbers
    constexpr int hexadecimal = 16;
    auto const port = fmt::format(":{:04X}", address.port());
    std::ifstream connections("/proc/net/tcp");
    std::size_t sum = 0;
    for (std::string line; std::getline(connections, line);)
    {
        std::istringstream words(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        words >> slot >> local >> remote >> state >> queues;
        constexpr std::string_view established = "01";
        if (local.ends_with(port) && state == established)
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return sum;
}

void await_settled(child_process const& node)
{
    constexpr int calm_polls = 150;
    constexpr auto longest = std::chrono::seconds(60);
    std::tuple<std::size_t, std::size_t, std::size_t> last;
    int calm = 0;
    eventually(
        [&]
        {
            std::tuple const current{unread_bytes(node.address()), node.resident_bytes(),
                                     node.open_descriptors()};
            calm = current == last ? calm + 1 : 0;
            last = current;
            return calm >= calm_polls;
        },
        longest);
}

} // namespace marjorampath::test
