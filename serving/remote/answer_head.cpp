#include <serving/remote/answer_head.hpp>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>

namespace marjorampath::serving
{

namespace
{

using boost::beast::http::error;

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr int min_status = 100;
constexpr int switching_protocols = 101;
constexpr int min_final_status = 200;
constexpr int no_content = 204;
constexpr int max_status = 599;

constexpr bool is_digit(char byte) noexcept
{
    return byte >= '0' && byte <= '9';
}

constexpr bool is_token_byte(char byte) noexcept
{
    return is_digit(byte) || (byte >= 'a' && byte <= 'z') ||
           (byte >= 'A' && byte <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
}

// Visible characters, blanks and bytes above 127
constexpr bool is_value_byte(char byte) noexcept
{
    auto const code = static_cast<unsigned char>(byte);
    return code == '\t' || (code >= ' ' && code != 0x7f);
}

std::string_view trimmed(std::string_view text) noexcept
{
    constexpr std::string_view blanks = " \t";
    auto const begin = std::min(text.find_first_not_of(blanks), text.size());
    auto const end = text.find_last_not_of(blanks);
    return text.substr(begin, end == std::string_view::npos ? 0 : end + 1 - begin);
}

bool is_name(std::string_view text, std::string_view lowercase_name)
{
    return boost::beast::iequals({text.data(), text.size()},
                                 {lowercase_name.data(), lowercase_name.size()});
}

// The status line, as far as it matters
struct status_line
{
    bool valid = false;
    bool version_1_0 = false;
    int status = 0;
};

status_line read_status_line(std::string_view line)
{
    // HTTP/1.1 200 and a reason, which may be empty
    constexpr std::string_view pattern = "HTTP/1.x 000";
    constexpr std::size_t minor_at = 7;
    constexpr std::size_t status_at = 9;
    status_line read;
    if (line.size() < pattern.size() || !line.starts_with(pattern.substr(0, minor_at)) ||
        (line[minor_at] != '0' && line[minor_at] != '1') || line[minor_at + 1] != ' ')
        return read;
    auto const digits = line.substr(status_at, 3);
    auto const reason = line.substr(pattern.size());
    if (!std::all_of(digits.begin(), digits.end(), is_digit) ||
        !std::all_of(reason.begin(), reason.end(), is_value_byte) ||
        (!reason.empty() && reason.front() != ' '))
        return read;
    for (auto const digit : digits)
        read.status = read.status * 10 + (digit - '0');
    read.version_1_0 = line[minor_at] == '0';
    read.valid = true;
    return read;
}

// What a head says of the length of the body
struct body_framing
{
    unsigned lengths = 0;
    unsigned codings = 0;
    bool empty = true;
};

// Reads one field
boost::system::error_code read_field(std::string_view line, body_framing& framing)
{
    auto const colon = line.find(':');
    auto const name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() ||
        !std::all_of(name.begin(), name.end(), is_token_byte))
        return error::bad_field;
    auto const value = trimmed(line.substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), is_value_byte))
        return error::bad_value;
    if (is_name(name, "content-length"))
    {
        ++framing.lengths;
        framing.empty = value.find_first_not_of('0') == std::string_view::npos;
        if (value.empty() || !std::all_of(value.begin(), value.end(), is_digit))
            return error::bad_content_length;
    }
    if (is_name(name, "transfer-encoding"))
    {
        ++framing.codings;
        if (!is_name(value, "chunked"))
            return error::bad_transfer_encoding;
    }
    return {};
}

boost::system::error_code check_framing(status_line const& line,
                                        body_framing const& framing)
{
    if (framing.codings > 1 ||
        (framing.codings == 1 &&
         (framing.lengths != 0 || line.version_1_0 || line.status == no_content)))
        return error::bad_transfer_encoding;
    if (framing.lengths > 1 || (line.status == no_content && !framing.empty))
        return error::bad_content_length;
    return {};
}

} // namespace

std::optional<std::size_t> find_head_end(std::string_view bytes)
{
    auto const found = bytes.find(head_end);
    if (found == std::string_view::npos)
        return std::nullopt;
    return found + head_end.size();
}

answer_head_check check_answer_head(std::string_view bytes)
{
    bytes.remove_suffix(line_end.size());
    auto const first_end = bytes.find(line_end);
    auto const line = read_status_line(bytes.substr(0, first_end));
    if (!line.valid)
        return {.error = error::bad_version};
    if (line.status < min_status || line.status > max_status ||
        line.status == switching_protocols)
        return {.error = error::bad_status};
    body_framing framing;
    for (auto begin = first_end + line_end.size(); begin < bytes.size();)
    {
        auto const end = std::min(bytes.find(line_end, begin), bytes.size());
        if (auto const failed = read_field(bytes.substr(begin, end - begin), framing))
            return {.error = failed};
        begin = end + line_end.size();
    }
    return {.error = check_framing(line, framing),
            .interim = line.status < min_final_status};
}

} // namespace marjorampath::serving
