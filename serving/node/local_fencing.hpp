#pragma once

#include <serving/engine/engine_orders.hpp>

#include <cstdint>

namespace marjorampath::serving
{

/// Fencing numbers of a host that decides alone: the wall clock in seconds shifted left,
/// and above every number that an engine refused an order with. Used on the control
/// thread only.
class local_fencing
{
public:
    /// The numbers as a source for orders; this object outlives it.
    fencing_source as_source();

private:
    // Highest number used or heard of
    std::uint64_t highest_ = 0;
};

} // namespace marjorampath::serving
