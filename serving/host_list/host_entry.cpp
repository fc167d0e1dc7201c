#include <serving/host_list/host_entry.hpp>

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>

#include <charconv>
#include <unordered_set>
#include <utility>

namespace marjorampath::serving
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

// The string member with a name; empty if it does not exist or is no string
std::string_view string_member(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (!value || !value->is_string())
        return {};
    return {value->get_string().data(), value->get_string().size()};
}

std::optional<host_role> parse_role(std::string_view text)
{
    if (text == "entry")
        return host_role::entry;
    if (text == "endpoint")
        return host_role::endpoint;
    return std::nullopt;
}

std::optional<host_state> parse_state(std::string_view text)
{
    if (text == "live")
        return host_state::live;
    if (text == "leaving")
        return host_state::leaving;
    return std::nullopt;
}

std::optional<host_entry> parse_entry(json::value const& value)
{
    auto const* object = value.if_object();
    if (!object)
        return std::nullopt;

    auto const role = parse_role(string_member(*object, "role"));
    auto const state = parse_state(string_member(*object, "state"));
    auto const address = parse_address(string_member(*object, "address"));
    auto const name = string_member(*object, "name");
    if (!role || !state || !address || name.empty())
        return std::nullopt;

    return host_entry{.name = std::string(name),
                      .role = *role,
                      .kind = std::string(string_member(*object, "kind")),
                      .address = *address,
                      .zone = std::string(string_member(*object, "zone")),
                      .region = std::string(string_member(*object, "region")),
                      .state = *state};
}

} // namespace

std::string format_address(asio::ip::tcp::endpoint const& address)
{
    return fmt::format("{}:{}", address.address().to_string(), address.port());
}

std::optional<asio::ip::tcp::endpoint> parse_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;

    // The port must be a number from 1 to 65535
    auto const port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const* end = port_text.data() + port_text.size();
    auto const [stop, number_error] = std::from_chars(port_text.data(), end, port);
    if (number_error != std::errc{} || stop != end || port == 0)
        return std::nullopt;

    // An IPv6 address may be enclosed in brackets
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);

    boost::system::error_code error;
    auto const address = asio::ip::make_address(host, error);
    if (error)
        return std::nullopt;
    return asio::ip::tcp::endpoint(address, port);
}

std::optional<std::vector<host_entry>> parse_host_list(std::string_view text)
{
    boost::system::error_code error;
    auto const document = json::parse(text, error);
    if (error || !document.is_object())
        return std::nullopt;
    auto const* hosts = document.get_object().if_contains("hosts");
    if (!hosts || !hosts->is_array())
        return std::nullopt;

    // Reject the whole list for one malformed entry or duplicate name
    std::vector<host_entry> entries;
    std::unordered_set<std::string> names;
    for (auto const& value : hosts->get_array())
    {
        auto entry = parse_entry(value);
        if (!entry || !names.insert(entry->name).second)
            return std::nullopt;
        entries.push_back(std::move(*entry));
    }
    return entries;
}

} // namespace marjorampath::serving
