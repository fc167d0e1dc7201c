#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath
{

/// A part of the published organisations that is not in force.
struct organisation_problem
{
    /// Name of the organisation; empty if it has none.
    std::string organisation;
    /// Why it was left out.
    std::string_view reason;
    /// Digest of the key that was left out; zero if the whole organisation was.
    std::uint32_t key_digest = 0;
};

/// The parts that were left out.
using organisation_problems = std::vector<organisation_problem>;

} // namespace marjorampath
