#pragma once

#include <string>
#include <vector>

namespace marjorampath::test
{

struct soak_evidence;

/// Returns a line for each request that ran behind the revocation of its key, for another
/// organisation than its caller's, or with the key itself.
std::vector<std::string> check_keys(soak_evidence const& evidence);

} // namespace marjorampath::test
