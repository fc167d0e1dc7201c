#pragma once

#include <marjorampath/organisation/organisation.hpp>
#include <marjorampath/organisation/organisation_problem.hpp>

#include <vector>

namespace marjorampath
{

/// The organisations of a deployment as its operator published them.
struct organisation_list
{
    /// Organisations whose description is valid.
    std::vector<organisation> organisations;
    /// Those whose description is not.
    organisation_problems problems;
};

} // namespace marjorampath
