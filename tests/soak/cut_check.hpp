#pragma once

#include <string>
#include <vector>

namespace marjorampath::test
{

struct soak_evidence;

/// Returns a line for each cut of nodes from all endpoints in which their callers were
/// served far worse than those of the other nodes.
std::vector<std::string> check_cuts(soak_evidence const& evidence);

} // namespace marjorampath::test
