#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <utility>
#include <vector>

namespace marjorampath::bench
{

/// Sends a POST request to a stand-in and waits for the answer. Returns the HTTP status,
/// or zero if there was no answer.
unsigned post_to_stand_in(boost::asio::ip::tcp::endpoint const& target, char const* path,
                          std::string const& body,
                          std::vector<std::pair<std::string, std::string>> const& fields);

} // namespace marjorampath::bench
