#pragma once

#include <serving/endpoint/append_body.hpp>
#include <serving/endpoint/connection_pool.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <utility>

namespace marjorampath::serving
{

/// Largest head of an endpoint's answer, in bytes.
inline constexpr std::uint32_t max_answer_head_bytes = 65'536;

/// Number of bytes that are read from an endpoint in one step.
inline constexpr std::size_t answer_read_bytes = 4'096;

/// Reads one answer of an endpoint piece by piece, in bounded memory.
class answer_reader
{
public:
    /// The head of an answer.
    using head = boost::beast::http::response_header<>;

    /// Reads the next answer on a connection. `early` are bytes of it that were read
    /// already.
    explicit answer_reader(endpoint_connection connection, std::string early = {});

    /// The bytes that came behind this answer: the beginning of another one.
    [[nodiscard]] std::string take_unparsed()
    {
        return std::move(unparsed_);
    }

    /// The answer has no body whatever its head says: it answers a HEAD request.
    void expect_no_body()
    {
        parser_.skip(true);
    }

    /// Reads to the end of the head. Bytes of the body may come with it; `read_some`
    /// yields them first.
    boost::asio::awaitable<boost::system::error_code> read_head();

    /// Appends the next bytes of the body to `output`; nothing where the body has ended.
    boost::asio::awaitable<boost::system::error_code> read_some(std::string& output);

    /// Reads the rest of the body, up to a limit that is an error to exceed.
    boost::asio::awaitable<boost::system::error_code> read_rest(std::string& output,
                                                                std::size_t limit);

    /// The head; valid behind `read_head`.
    [[nodiscard]] head const& get_head() const
    {
        return parser_.get().base();
    }

    /// The length of the body if the head states one.
    [[nodiscard]] boost::optional<std::uint64_t> length() const
    {
        return parser_.content_length();
    }

    /// Whether the end of the body can be told from the end of the connection.
    [[nodiscard]] bool is_framed() const
    {
        return parser_.content_length().has_value() || parser_.chunked();
    }

    /// Whether the end of the body was read.
    [[nodiscard]] bool is_done() const
    {
        return parser_.is_done();
    }

    /// Whether bytes of the body that came with the head were not yielded yet.
    [[nodiscard]] bool has_buffered_body() const noexcept
    {
        return !early_.empty();
    }

    /// Whether any byte of the answer was read.
    [[nodiscard]] bool got_some() const
    {
        return parser_.got_some();
    }

    /// Whether the connection can carry another request behind this answer.
    [[nodiscard]] bool keep_alive() const
    {
        return parser_.is_done() && unparsed_.empty() && parser_.keep_alive();
    }

private:
    // Waits for bytes and parses them; body bytes go to `output`
    boost::asio::awaitable<boost::system::error_code> read_and_parse(std::string& output);

    // Parses what there is; what is not understood yet stays in unparsed_
    boost::system::error_code parse(char const* bytes, std::size_t size,
                                    std::string& output);

    // Connection that is read from
    endpoint_connection connection_;
    // Beast's parser
    boost::beast::http::response_parser<append_body> parser_;
    // Bytes that the parser needs more of before it can go on
    std::string unparsed_;
    // Receives what is read in one step
    std::array<char, answer_read_bytes> buffer_;
    // Bytes of the body that came with the head
    std::string early_;
};

} // namespace marjorampath::serving
