#pragma once

#include <boost/beast/http/fields.hpp>

namespace marjorampath::serving
{

/// Removes the fields that belong to one connection (RFC 9110, section 7.6.1), among them
/// those that the field `Connection` names. `Content-Length` stays.
void remove_hop_by_hop_fields(boost::beast::http::fields& fields);

} // namespace marjorampath::serving
