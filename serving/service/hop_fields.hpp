#pragma once

#include <boost/beast/http/fields.hpp>

namespace marjorampath::serving
{

/// Removes the hop-by-hop header fields (RFC 9110, section 7.6.1), including those that
/// the field `Connection` lists. Keeps `Content-Length`.
void remove_hop_fields(boost::beast::http::fields& fields);

} // namespace marjorampath::serving
