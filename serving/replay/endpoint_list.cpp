#include <serving/replay/endpoint_list.hpp>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <string>

namespace marjorampath::serving
{

std::optional<std::vector<boost::asio::ip::tcp::endpoint>>
parse_endpoint_list(std::string_view text)
{
    std::vector<boost::asio::ip::tcp::endpoint> endpoints;
    while (!text.empty())
    {
        auto const end = std::min(text.find(','), text.size());
        auto const item = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));

        auto const colon = item.rfind(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        boost::system::error_code error;
        auto const address =
            boost::asio::ip::make_address(std::string(item.substr(0, colon)), error);
        auto const port_text = item.substr(colon + 1);
        auto const* port_end = port_text.data() + port_text.size();
        std::uint16_t port = 0;
        auto const [stop, port_error] = std::from_chars(port_text.data(), port_end, port);
        if (error || port_error != std::errc{} || stop != port_end)
            return std::nullopt;
        endpoints.emplace_back(address, port);
    }
    return endpoints;
}

} // namespace marjorampath::serving
