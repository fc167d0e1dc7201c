#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// Reason for which a lease holder refuses a load request.
enum class load_refusal : std::uint8_t
{
    /// Not refused.
    none,
    /// The host does not hold the lease or may not send orders now.
    orders_not_allowed,
    /// The engine has not loaded the base model.
    no_model,
    /// Every adapter slot holds an adapter that is in use, loading, being evicted or just
    /// loaded, or the requested adapter itself is being evicted.
    no_free_slot,
    /// The engine has the maximum number of concurrent loads or pending orders.
    too_many_loads
};

/// The name of a reason for log messages.
std::string_view to_string(load_refusal reason) noexcept;

} // namespace marjorampath
