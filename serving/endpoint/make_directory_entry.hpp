#pragma once

#include <marjorampath/deployment/endpoint_announcement.hpp>
#include <serving/endpoint/directory.hpp>

namespace marjorampath::serving
{

/// Makes a directory entry for an endpoint that announced itself. The address was
/// validated when the announcement was parsed.
directory_entry make_directory_entry(endpoint_announcement const& endpoint);

} // namespace marjorampath::serving
