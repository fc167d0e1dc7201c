#pragma once

#include <marjorampath/core/identifier.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <unordered_map>

namespace marjorampath::serving
{

/// One endpoint of the host list.
struct directory_entry
{
    /// Hash of the name.
    endpoint_id id;
    /// Name in the host list.
    std::string name;
    /// Address that requests and orders are sent to.
    boost::asio::ip::tcp::endpoint address;
    /// Its kind in the sheet.
    endpoint_kind_id kind;
    /// Its zone.
    zone_id zone;
    /// Whether it is leaving and must get no new work.
    bool leaving = false;
};

/// The endpoints of the region. Immutable once published; shared between threads.
using directory = std::unordered_map<endpoint_id, directory_entry>;

} // namespace marjorampath::serving
