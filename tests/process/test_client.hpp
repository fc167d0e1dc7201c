#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::test
{

/// Header fields of a request.
using header_fields = std::map<std::string, std::string>;

/// An answer as a caller sees it.
struct test_answer
{
    /// HTTP status; zero where no head came.
    unsigned status = 0;
    /// Whether the answer ended as HTTP says that it ends.
    bool ended = false;
    /// The body as far as it came.
    std::string body;
    /// Value of `X-Error-Kind`.
    std::string kind;
    /// Value of `X-Outcome`.
    std::string outcome;
    /// Value of `X-Request-Id`.
    std::string request_id;

    /// The generated text of a whole answer or of all events.
    [[nodiscard]] std::string text() const;

    /// Whether the answer claims to be whole: ended, 200, and with the end mark where
    /// it is a stream.
    [[nodiscard]] bool looks_complete() const;
};

/// A caller that blocks, on one connection, with a time limit for each operation.
class test_client
{
public:
    /// Connects; throws boost::system::system_error where it cannot.
    explicit test_client(boost::asio::ip::tcp::endpoint const& target);

    /// Sends a request.
    void send(std::string_view method, std::string_view target, std::string const& body,
              header_fields const& fields = {});

    /// Sends raw bytes.
    void send_raw(std::string_view bytes);

    /// Reads the rest of the answer.
    test_answer read_answer();

    /// Reads until `count` events of the answer have come; whether they came.
    bool read_events(std::size_t count);

    /// Closes the connection.
    void close();

private:
    // Runs one operation to its end or its time limit; whether it worked
    template <typename Start>
    bool finish(Start start);

    // Reads some of the answer; whether it worked
    bool read_some();

    // Executor of the socket
    boost::asio::io_context context_;
    // Connection
    boost::asio::ip::tcp::socket socket_;
    // Bytes read ahead
    boost::beast::flat_buffer buffer_;
    // Reads one answer
    boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
};

/// Sends one request on a connection of its own. An answer that did not come has status
/// zero.
test_answer call(boost::asio::ip::tcp::endpoint const& target, std::string_view method,
                 std::string_view path, std::string const& body = {},
                 header_fields const& fields = {});

/// The body of a completion request.
std::string completion_body(std::string_view adapter, std::string_view prompt,
                            std::uint32_t tokens, bool streamed);

/// The text that must come back for it.
std::string expected_text(std::string_view model, std::string_view prompt,
                          std::uint32_t tokens);

} // namespace marjorampath::test
