#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace marjorampath::serving
{

/// Reads `IP:PORT[,IP:PORT…]`, or nothing where the text is not such a list.
std::optional<std::vector<boost::asio::ip::tcp::endpoint>>
parse_endpoint_list(std::string_view text);

} // namespace marjorampath::serving
