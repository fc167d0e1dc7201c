#pragma once

namespace marjorampath
{

/// This host's relation to a leased resource.
enum class lease_standing
{
    /// Another host or nobody holds it, or the holder is not known.
    none,
    /// This host was the last holder as far as it knows, but the lease has ended. It may
    /// continue work that needs no orders.
    lapsed,
    /// This host holds it and may give orders.
    held
};

} // namespace marjorampath
