#pragma once

#include <serving/engine/engine_orders.hpp>

#include <cstdint>

namespace marjorampath::serving
{

/// Fencing numbers of a host that runs without a fleet. The first number is the wall
/// clock in seconds, shifted left; a refused order raises it above the number that the
/// engine has seen. Must be used on the control thread only.
class local_fencing
{
public:
    /// Returns a source for these numbers; this object must outlive it.
    fencing_source as_fencing_source();

private:
    // Current number, above every number in a refusal; zero before the first order
    std::uint64_t highest_ = 0;
};

} // namespace marjorampath::serving
