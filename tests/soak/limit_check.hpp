#pragma once

#include <string>
#include <vector>

namespace marjorampath::test
{

struct soak_evidence;

/// Returns a line for each limit on an endpoint's request rate that the nodes did not
/// keep although the endpoint had told them of it.
std::vector<std::string> check_limits(soak_evidence const& evidence);

} // namespace marjorampath::test
