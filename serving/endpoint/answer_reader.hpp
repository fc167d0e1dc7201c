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

/// Maximum size of the head of an endpoint's answer, in bytes.
inline constexpr std::uint32_t max_answer_head_bytes = 65'536;

/// Most answers to other requests that are skipped on one connection.
inline constexpr unsigned max_skipped_answers = 2;

/// Size of the read buffer, in bytes.
inline constexpr std::size_t answer_read_bytes = 4'096;

/// Maximum size of a line between two chunks of an answer, and of its trailer, in bytes.
inline constexpr std::size_t max_chunk_line_bytes = 16'384;

/// Reads one HTTP answer of an endpoint piece by piece, with bounded memory use. Skips
/// interim answers before it. Fails with `header_limit` or `buffer_overflow` if its head,
/// or what stands between chunks, exceeds its limit, and with another error if its head
/// is invalid by `check_answer_head`.
class answer_reader
{
public:
    /// The head of an answer.
    using head = boost::beast::http::response_header<>;

    /// Creates a reader for the next answer on a connection. `initial_bytes` are bytes of
    /// it that were received already.
    explicit answer_reader(endpoint_connection connection,
                           std::string initial_bytes = {});

    /// Extracts the bytes received after this answer: the beginning of the next one.
    [[nodiscard]] std::string take_unparsed()
    {
        return std::move(unparsed_);
    }

    /// Expects no body even if the head announces one, as in the answer to a HEAD
    /// request.
    void expect_no_body()
    {
        parser_.skip(true);
    }

    /// Reads to the end of the head. Bytes of the body that arrive with it are buffered;
    /// `read_some` returns them first.
    boost::asio::awaitable<boost::system::error_code> read_head();

    /// Appends the next bytes of the body to `output`; none if the body has ended.
    boost::asio::awaitable<boost::system::error_code> read_some(std::string& output);

    /// Appends the rest of the body to `output`. Fails with `body_limit` if `output`
    /// grows beyond `limit` bytes.
    boost::asio::awaitable<boost::system::error_code> read_rest(std::string& output,
                                                                std::size_t limit);

    /// The head; valid after `read_head`.
    [[nodiscard]] head const& get_head() const
    {
        return parser_.get().base();
    }

    /// The length of the body in bytes, if the head states it.
    [[nodiscard]] boost::optional<std::uint64_t> length() const
    {
        return parser_.content_length();
    }

    /// Whether the end of the body can be distinguished from a closed connection: it has
    /// a length or is chunked.
    [[nodiscard]] bool is_framed() const
    {
        return parser_.content_length().has_value() || parser_.chunked();
    }

    /// Whether the answer was received to its end. Bytes of its body may still be
    /// buffered.
    [[nodiscard]] bool is_done() const
    {
        return parser_.is_done();
    }

    /// Whether bytes of the body that arrived with the head are still to be returned by
    /// `read_some`.
    [[nodiscard]] bool has_buffered_body() const noexcept
    {
        return !buffered_body_.empty();
    }

    /// Whether any byte of the answer was received.
    [[nodiscard]] bool got_some() const
    {
        return got_some_;
    }

    /// Whether the connection can be used for another request after this answer.
    [[nodiscard]] bool keep_alive() const
    {
        return parser_.is_done() && unparsed_.empty() && parser_.keep_alive();
    }

private:
    // Checks the head, without which nothing is parsed, and removes interim answers;
    // leaves `head_checked_` unset if it is not complete
    boost::system::error_code check_head();

    // Reads from the connection and parses; appends bytes of the body to `output`
    boost::asio::awaitable<boost::system::error_code> read_and_parse(std::string& output);

    // Parses unparsed_ and removes the bytes that the parser consumed
    boost::system::error_code parse(std::string& output);

    endpoint_connection connection_;
    boost::beast::http::response_parser<append_body> parser_;
    // Received bytes that the parser has not consumed: an incomplete element, or bytes
    // after the end of the answer
    std::string unparsed_;
    // Whether any byte was received
    bool got_some_ = false;
    // Whether the head is complete and valid
    bool head_checked_ = false;
    // Interim answers that were skipped
    unsigned interim_answers_ = 0;
    // Read buffer
    std::array<char, answer_read_bytes> buffer_;
    // Bytes of the body that arrived with the head
    std::string buffered_body_;
};

} // namespace marjorampath::serving
