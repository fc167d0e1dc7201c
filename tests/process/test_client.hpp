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

/// An HTTP answer as a caller receives it.
struct test_answer
{
    /// HTTP status; zero if no head arrived.
    unsigned status = 0;
    /// Whether the answer was received to the end of the HTTP message.
    bool ended = false;
    /// The body as far as it was received.
    std::string body;
    /// Value of `X-Error-Kind`.
    std::string kind;
    /// Value of `X-Outcome`.
    std::string outcome;
    /// Value of `X-Request-Id`.
    std::string request_id;

    /// Returns the generated text of a JSON answer or of all events of a stream.
    [[nodiscard]] std::string text() const;

    /// Whether a caller would take the answer for complete: status 200, received to its
    /// end and, if it is a stream, with the event `[DONE]`.
    [[nodiscard]] bool looks_complete() const;
};

/// A blocking HTTP client on one connection, with a time limit of 20 s for each
/// operation.
class test_client
{
public:
    /// Connects; throws boost::system::system_error on failure.
    explicit test_client(boost::asio::ip::tcp::endpoint const& target);

    /// Sends a request.
    void send(std::string_view method, std::string_view target, std::string const& body,
              header_fields const& fields = {});

    /// Sends raw bytes.
    void send_raw(std::string_view bytes);

    /// Reads the rest of the answer, as far as it arrives.
    test_answer read_answer();

    /// Reads until the answer has at least `count` events; returns whether it does.
    bool read_events(std::size_t count);

    /// Closes the connection.
    void close();

private:
    // Runs one asynchronous operation to its end or time limit; returns whether it
    // succeeded
    template <typename Start>
    bool run_operation(Start start);

    // Reads some bytes of the answer; returns whether that succeeded
    bool read_some();

    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    // Bytes received but not yet parsed
    boost::beast::flat_buffer buffer_;
    // Parser of the one answer
    boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
};

/// Sends one request on a new connection and waits for its answer, which has status zero
/// if none arrived.
test_answer call(boost::asio::ip::tcp::endpoint const& target, std::string_view method,
                 std::string_view path, std::string const& body = {},
                 header_fields const& fields = {});

/// Returns the body of a completion request.
std::string completion_body(std::string_view adapter, std::string_view prompt,
                            std::uint32_t tokens, bool streamed);

/// Returns the text that the stand-in engine generates for such a request.
std::string expected_text(std::string_view model, std::string_view prompt,
                          std::uint32_t tokens);

} // namespace marjorampath::test
