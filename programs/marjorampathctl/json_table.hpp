#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace marjorampath::ctl
{

/// A JSON answer as text for people: scalar members as `name: value`, a member that is a
/// list of objects as a table with one column for each member of its first row.
std::string format_json(boost::json::value const& value);

} // namespace marjorampath::ctl
