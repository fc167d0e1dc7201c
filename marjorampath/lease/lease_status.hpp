#pragma once

namespace marjorampath
{

/// Whether this host holds a leased resource.
enum class lease_status
{
    /// Another host holds it, or nobody, or it is not known.
    none,
    /// This host held it last as far as it knows but may give no orders now, since the
    /// lease ended or a new fencing number is not confirmed. The host may continue work
    /// that needs no order.
    lapsed,
    /// This host holds it and may give orders.
    held
};

} // namespace marjorampath
