#pragma once

#include <string>
#include <vector>

namespace marjorampath::test
{

struct soak_evidence;

/// Returns a line if requests with a part that crashed engines went on to reach them, and
/// one if sound requests were refused with them.
std::vector<std::string> check_crashing_part(soak_evidence const& evidence);

} // namespace marjorampath::test
