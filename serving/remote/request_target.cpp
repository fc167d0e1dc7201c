#include <serving/remote/request_target.hpp>

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <fmt/format.h>

#include <cassert>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace urls = boost::urls;

// Characters that are not encoded
constexpr auto plain_chars = urls::unreserved_chars + '/';

std::string encode(std::string_view text)
{
    return urls::encode(urls::string_view(text.data(), text.size()), plain_chars);
}

} // namespace

request_target& request_target::add_key(std::string_view key)
{
    assert(!has_query_);
    text_ += encode(key);
    return *this;
}

request_target& request_target::add_parameter(std::string_view name,
                                              std::string_view value)
{
    text_ += std::exchange(has_query_, true) ? '&' : '?';
    text_ += name;
    text_ += '=';
    text_ += encode(value);
    return *this;
}

request_target& request_target::add_parameter(std::string_view name, std::uint64_t value)
{
    return add_parameter(name, std::string_view(fmt::to_string(value)));
}

} // namespace marjorampath::serving
