#include <tests/process/entry_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <platform/standin/operator_documents.hpp>
#include <string>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

// The smallest host that the users' pages name has 160 MB
constexpr std::size_t most_memory_kb = 100'000;
// Bytes that a caller offers
constexpr std::size_t offered_bytes = 300'000'000;

// Sends a request whose body begins with a part that never ends, until the node closes
void flood(boost::asio::ip::tcp::endpoint const& node, std::string const& part)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(node);
    platform::standin_deployment const deployment;
    auto piece = fmt::format("POST {}x HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: flood\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n{}",
                             deployment.safe, deployment.host, part);
    boost::system::error_code error;
    for (std::size_t sent = 0; !error && sent < offered_bytes;)
    {
        sent += boost::asio::write(socket, boost::asio::buffer(piece), error);
        piece.assign(1'000'000, 'a');
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(unparsed_bytes)

// One caller's chunk extension or trailer took a node to 2.6 GB, and other callers got
// 503
BOOST_AUTO_TEST_CASE(a_request_that_never_ends_takes_no_memory)
{
    entry_process entry{{}};
    for (auto const* part : {"1;", "0\r\nX: "})
        flood(entry.node().address(), part);
    BOOST_TEST(entry.node().peak_memory_kb() < most_memory_kb);
    BOOST_TEST(eventually([&] { return entry.has_logged("request_limit_exceeded"); }));

    platform::standin_deployment const deployment;
    auto const answer = call(entry.node().address(), "GET", deployment.safe + "x", {},
                             {{"Host", deployment.host},
                              {"X-Attempt-Id", "innocent"},
                              {"X-Deadline-Ms", "4000"}});
    BOOST_TEST(answer.status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
