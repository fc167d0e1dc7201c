#pragma once

#include <marjorampath/deployment/endpoint_announcement.hpp>
#include <serving/endpoint/directory.hpp>

namespace marjorampath::serving
{

/// Where an endpoint that announced itself is reached. The address was checked when the
/// announcement was read.
directory_entry make_directory_entry(endpoint_announcement const& endpoint);

} // namespace marjorampath::serving
