#include <serving/remote/answer_head.hpp>
#include <tests/unit/entry/entry_fixture.hpp>
#include <tests/unit/entry/invalid_answers.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <algorithm>
#include <random>
#include <regex>

using namespace marjorampath;
using namespace marjorampath::test;

namespace
{

// The status and body of an answer
struct decoded_answer
{
    unsigned status = 0;
    std::string body;
};

// Decodes a chunked body; empty unless it is valid and complete
std::optional<std::string> decode_chunks(std::string const& bytes)
{
    static std::regex const size_line("^([0-9a-fA-F]{1,8})(;[\\t\\x20-\\x7e]*)?$");
    std::string body;
    for (std::size_t at = 0;;)
    {
        auto const end = bytes.find("\r\n", at);
        std::smatch match;
        auto const line = bytes.substr(at, end - at);
        if (end == std::string::npos || !std::regex_match(line, match, size_line))
            return std::nullopt;
        auto const size = std::stoul(match[1].str(), nullptr, 16);
        at = end + 2;
        if (size == 0)
            return bytes.find("\r\n", at) == std::string::npos ? std::nullopt
                                                               : std::optional(body);
        if (bytes.size() < at + size + 2 || bytes.substr(at + size, 2) != "\r\n")
            return std::nullopt;
        body += bytes.substr(at, size);
        at += size + 2;
    }
}

// Decodes an answer by the grammar of RFC 9112, apart from the product's code; empty
// unless it is valid and complete
std::optional<decoded_answer> decode(std::string bytes)
{
    static std::regex const status_line(
        "^HTTP/1\\.([01]) ([1-5][0-9][0-9])( [\\t\\x20-\\x7e\\x80-\\xff]*)?$");
    static std::regex const field_line("^([-!#$%&'*+.^_`|~0-9A-Za-z]+):"
                                       "[ \\t]*([\\t\\x20-\\x7e\\x80-\\xff]*)$");
    while (true)
    {
        auto const head_end = bytes.find("\r\n\r\n");
        if (head_end == std::string::npos)
            return std::nullopt;
        std::vector<std::string> lines;
        for (std::size_t at = 0; at < head_end + 2;)
        {
            auto const end = bytes.find("\r\n", at);
            lines.push_back(bytes.substr(at, end - at));
            at = end + 2;
        }
        std::smatch match;
        if (!std::regex_match(lines[0], match, status_line))
            return std::nullopt;
        auto const status = static_cast<unsigned>(std::stoul(match[2].str()));
        auto const is_old = match[1].str() == "0";
        std::vector<std::string> lengths;
        std::vector<std::string> codings;
        for (std::size_t index = 1; index < lines.size(); ++index)
        {
            if (!std::regex_match(lines[index], match, field_line))
                return std::nullopt;
            auto name = match[1].str();
            std::transform(name.begin(), name.end(), name.begin(),
                           [](char byte) { return std::tolower(byte); });
            auto value = match[2].str();
            while (!value.empty() && (value.back() == ' ' || value.back() == '\t'))
                value.pop_back();
            if (name == "content-length")
                lengths.push_back(value);
            if (name == "transfer-encoding")
                codings.push_back(value);
        }
        auto const rest = bytes.substr(head_end + 4);
        if (status == 101 || lengths.size() + codings.size() > 1)
            return std::nullopt;
        if (status < 200)
        {
            bytes = rest;
            continue;
        }
        if (status == 204 || status == 304)
            return decoded_answer{.status = status, .body = {}};
        if (!codings.empty())
        {
            std::transform(codings[0].begin(), codings[0].end(), codings[0].begin(),
                           [](char byte) { return std::tolower(byte); });
            auto body = decode_chunks(rest);
            if (codings[0] != "chunked" || is_old || !body)
                return std::nullopt;
            return decoded_answer{.status = status, .body = *body};
        }
        if (lengths.empty())
            return decoded_answer{.status = status, .body = rest};
        if (lengths[0].empty() || lengths[0].size() > 9 ||
            lengths[0].find_first_not_of("0123456789") != std::string::npos)
            return std::nullopt;
        auto const size = std::stoul(lengths[0]);
        if (rest.size() < size)
            return std::nullopt;
        return decoded_answer{.status = status, .body = rest.substr(0, size)};
    }
}

// Changes some bytes or lines of an answer
std::string mutate(std::string text, std::minstd_rand& random)
{
    static constexpr std::string_view bytes{"\0\x01\t \r\n:;,/0129aZ\x7f\x80\xff", 19};
    auto const draw = [&](std::size_t below) { return random() % below; };
    for (auto changes = 1 + draw(3); changes > 0; --changes)
    {
        auto const at = draw(text.size());
        auto const byte = bytes[draw(bytes.size())];
        auto const line = text.find("\r\n", at);
        switch (draw(6))
        {
        case 0:
            text[at] = byte;
            break;
        case 1:
            text.insert(at, 1, byte);
            break;
        case 2:
            text.erase(at, 1 + draw(3));
            break;
        case 3:
            text.resize(at + 1);
            break;
        case 4:
            // Doubles the end of a line and the next one
            if (line != std::string::npos)
                text.insert(line, text.substr(at, line + 2 - at));
            break;
        default:
            text[at] = static_cast<char>(draw(256));
            break;
        }
    }
    return text;
}

// An endpoint that answers before it has read the request's body, and then resets the
// connection
class early_endpoint
{
public:
    early_endpoint(asio::io_context& loop, std::string answer, bool ends_first)
        : acceptor_(loop), answer_(std::move(answer)), ends_first_(ends_first)
    {
        acceptor_.open(tcp::v4());
        acceptor_.set_option(asio::socket_base::receive_buffer_size(receive_bytes));
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
        asio::co_spawn(loop, serve(), asio::detached);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

private:
    static constexpr int receive_bytes = 4'096;

    asio::awaitable<void> serve()
    {
        while (true)
        {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            std::array<char, 512> bytes{};
            co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(answer_),
                                       asio::use_awaitable);
            if (ends_first_)
                socket.shutdown(tcp::socket::shutdown_send);
            asio::steady_timer timer(socket.get_executor(), 30ms);
            co_await timer.async_wait(asio::use_awaitable);
            socket.set_option(asio::socket_base::linger(true, 0));
        }
    }

    tcp::acceptor acceptor_;
    std::string answer_;
    // Whether the connection seems to end in order before the reset
    bool ends_first_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_answer_syntax)

// Guards against answers of an engine in trouble, with a status such as 000, that callers
// get as answers
BOOST_AUTO_TEST_CASE(an_invalid_answer_is_never_passed_on)
{
    for (auto const& invalid : invalid_answers())
        for (auto const* path : {"/unsafe/x", "/stream/x"})
        {
            entry_fixture entry({{.text = invalid}, {sealed("next")}}, {});
            auto const answer = entry.send_request(http::verb::post, path);
            BOOST_TEST(answer.starts_with("HTTP/1.1 502"), invalid);
            BOOST_TEST(contains(answer, "X-Outcome: unknown"), invalid);
            BOOST_TEST(!contains(answer, "X-Server-Seal"), invalid);
            BOOST_TEST(!contains(answer, "body"), invalid);
        }
}

BOOST_AUTO_TEST_CASE(the_connection_of_an_invalid_answer_is_not_used_again)
{
    entry_fixture entry({{.text = answer_of("HTTP/1.1 000 ", {}), .closes = false}}, {});
    BOOST_TEST(
        entry.send_request(http::verb::post, "/unsafe/x").starts_with("HTTP/1.1 502"));
    BOOST_TEST(entry.context.connections.idle() == 0U);
}

BOOST_AUTO_TEST_CASE(a_safe_request_goes_on_at_another_endpoint_behind_an_invalid_answer)
{
    for (auto const& invalid : invalid_answers())
    {
        entry_fixture entry({{invalid}}, {{sealed("whole")}});
        auto const answer = entry.send_request(http::verb::get, "/safe/x");
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"), invalid);
        BOOST_TEST(answer.ends_with("whole"), invalid);
    }
}

// A refusal that cannot be read promises nothing
BOOST_AUTO_TEST_CASE(an_invalid_refusal_does_not_say_that_a_request_has_not_run)
{
    entry_fixture entry({{answer_of("HTTP/1.1 000 ", "X-Not-Executed: 1\r\n")}},
                        {{sealed("second")}});
    auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    BOOST_TEST(contains(answer, "X-Outcome: unknown"));
    BOOST_TEST(entry.sends() == 1U);
}

BOOST_AUTO_TEST_CASE(the_bounds_of_the_status_are_kept)
{
    for (auto const* status : {"200", "299", "500", "599"})
    {
        entry_fixture entry({{answer_of(fmt::format("HTTP/1.1 {} Reason", status), {})}},
                            {});
        auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
        BOOST_TEST(answer.starts_with(fmt::format("HTTP/1.1 {}", status)), status);
        BOOST_TEST(answer.ends_with("body"), status);
    }
}

// An interim answer was taken for the final one
BOOST_AUTO_TEST_CASE(interim_answers_are_skipped_within_a_bound)
{
    for (auto const& whole :
         {sealed("whole"), answer_of("HTTP/1.1 200 OK", {}, "\r\nwhole")})
    {
        entry_fixture entry({{interim_answers + whole}}, {});
        auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
        BOOST_TEST(answer.ends_with("whole"));
        BOOST_TEST(!contains(answer, "X-Early"));
    }
    for (auto const extra : {0U, 1U})
    {
        auto const interim = repeated_interim_answers(max_interim_answers + extra);
        entry_fixture entry({{interim + sealed("whole")}}, {});
        BOOST_TEST(entry.send_request(http::verb::post, "/unsafe/x")
                       .starts_with(extra == 0 ? "HTTP/1.1 200" : "HTTP/1.1 502"));
    }
}

// What the head says twice, or takes back, is not certain
BOOST_AUTO_TEST_CASE(an_ambiguous_answer_is_not_passed_on)
{
    for (auto const* line :
         {"X-Attempt-Id: 9c41\r\n", "X-Attempt-Id: 9c42\r\n", "X-Server-Seal: t\r\n",
          "Connection: close, X-Server-Seal\r\n", "Connection: x-attempt-id\r\n",
          "Content-Encoding: gzip\r\n"})
    {
        entry_fixture entry({{answer_of("HTTP/1.1 200 OK", line)}}, {});
        auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"), line);
    }
}

// A reset that follows an orderly end shows only where the body is written
BOOST_DATA_TEST_CASE(an_early_answer_whose_connection_is_reset_is_not_whole,
                     boost::unit_test::data::make({false, true}), ends_first)
{
    constexpr std::array<std::size_t, 3> body_sizes{16'384, 262'144, 4'000'000};
    for (auto const size : body_sizes)
        for (auto const* path : {"/unsafe/x", "/safe/x", "/stream/x"})
        {
            // A stream seems whole behind its last event
            std::string const part = path == std::string_view("/stream/x") ? "" : "part";
            entry_fixture entry({}, {});
            entry.context.callers.limits.max_body_bytes = 8'000'000;
            early_endpoint const endpoint(
                entry.loop,
                answer_of("HTTP/1.1 200 OK", {}, "\r\n" + events(1, 3) + part),
                ends_first);
            auto announced =
                entry.context.dispatch.find(endpoint_id::of("i-0"))->announced;
            announced.port = endpoint.port();
            entry.context.dispatch.on_endpoint(
                {.change = endpoint_change::restarted, .endpoint = announced},
                boot_now());
            auto const answer = entry.send_bytes(fmt::format(
                "POST {} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 9c41\r\n"
                "X-Deadline-Ms: 2000\r\nConnection: close\r\n"
                "Content-Length: {}\r\n\r\n{}",
                path, size, std::string(size, 'x')));
            auto const received = decode(answer);
            BOOST_TEST((!received || received->status == 502U), path << " " << size);
            BOOST_TEST(!contains(answer, "part"), path << " " << size);
        }
}

// Answers that are changed at random are passed on as what they say, or not at all
BOOST_AUTO_TEST_CASE(a_changed_answer_is_passed_on_only_if_it_is_valid_and_complete)
{
    std::vector<std::string> const originals{
        sealed("the whole body"),
        answer_of("HTTP/1.1 200 OK", "Content-Type: text/plain\r\n",
                  "Transfer-Encoding: chunked\r\n\r\n" + chunk("the whole") +
                      chunk(" body") + "0\r\n\r\n"),
        answer_of("HTTP/1.1 200 OK", {}, "\r\nthe whole body"),
        answer_of("HTTP/1.1 500 Failed", "Retry-After: 1\r\n"),
        interim_answers + sealed("the whole body")};
    constexpr std::uint32_t seeds = 3'000;
    std::size_t passed_on = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        std::minstd_rand random(seed);
        auto const text = mutate(originals[seed % originals.size()], random);
        auto const expected = decode(text);
        entry_fixture entry({{text}}, {});
        auto const answer = entry.send_request(http::verb::post, "/unsafe/x");
        auto const received = decode(answer);
        BOOST_REQUIRE_MESSAGE(received, "seed " << seed << "\n"
                                                << text << "\n"
                                                << answer);
        if (!contains(answer, "X-Server-Seal"))
        {
            BOOST_REQUIRE_MESSAGE(received->status >= 300, "seed " << seed);
            continue;
        }
        ++passed_on;
        BOOST_REQUIRE_MESSAGE(expected, "seed " << seed << "\n"
                                                << text << "\n"
                                                << answer);
        BOOST_REQUIRE_MESSAGE(expected->status == received->status &&
                                  expected->body == received->body,
                              "seed " << seed << "\n"
                                      << text << "\n"
                                      << answer);
    }
    BOOST_TEST_MESSAGE(passed_on << " of " << seeds << " answers passed on");
    BOOST_TEST(passed_on > seeds / 20);
}

BOOST_AUTO_TEST_SUITE_END()
