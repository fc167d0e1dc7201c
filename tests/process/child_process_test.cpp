#include <tests/process/child_process.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <poll.h>

namespace asio = boost::asio;
using asio::ip::tcp;

BOOST_AUTO_TEST_SUITE(child_processes)

// A child that inherits a socket keeps its connection open after the test has closed it:
// callers of the soak waited for a node's end where they should have seen a reset
BOOST_AUTO_TEST_CASE(a_child_inherits_no_connections)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    tcp::socket client(context);
    client.connect(acceptor.local_endpoint());
    auto server = acceptor.accept();

    auto const log = std::filesystem::temp_directory_path() / "marjorampath-child.log";
    marjorampath::test::child_process const child("marjorampath-standin", {"users-store"},
                                                  log.string());
    server.close();
    pollfd descriptor{.fd = client.native_handle(), .events = POLLIN, .revents = 0};
    constexpr int timeout_ms = 1'000;
    BOOST_TEST(::poll(&descriptor, 1, timeout_ms) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
