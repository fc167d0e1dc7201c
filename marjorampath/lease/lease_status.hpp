#pragma once

namespace marjorampath
{

/// How a host stands to a leased resource.
enum class lease_status
{
    /// Another host holds it, or nobody, or it is not known.
    none,
    /// This host held it last as far as it knows, but the lease ended: it may go on with
    /// what needs no order.
    lapsed,
    /// This host holds it and may give orders.
    held
};

} // namespace marjorampath
