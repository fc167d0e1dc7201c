#pragma once

#include <marjorampath/core/identifier.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <unordered_map>

namespace marjorampath::serving
{

/// An endpoint and how to reach it.
struct directory_entry
{
    /// Identifier: the hash of the name.
    endpoint_id id;
    /// Name in the host list.
    std::string name;
    /// Address that requests and orders are sent to.
    boost::asio::ip::tcp::endpoint address;
    /// Endpoint kind, as defined in the sheet.
    endpoint_kind_id kind;
    /// Availability zone.
    zone_id zone;
    /// Whether the endpoint is leaving and must receive no new work.
    bool leaving = false;
};

/// All endpoints of the region. Immutable once published, so that threads can share it.
using directory = std::unordered_map<endpoint_id, directory_entry>;

} // namespace marjorampath::serving
