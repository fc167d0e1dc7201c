#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace marjorampath::serving
{

/// Parses a list `IP:PORT[,IP:PORT…]`; returns nothing if the text is malformed. An empty
/// text is an empty list.
std::optional<std::vector<boost::asio::ip::tcp::endpoint>>
parse_endpoint_list(std::string_view text);

} // namespace marjorampath::serving
