#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// Why a lease holder does not load an adapter.
enum class load_refusal : std::uint8_t
{
    /// It does.
    none,
    /// It does not hold the lease, or may not give orders yet.
    orders_not_allowed,
    /// The engine does not hold the base model.
    no_model,
    /// Every place is taken by an adapter that runs, is awaited or has just arrived.
    no_free_slot,
    /// As many adapters are on their way to the engine as it takes at a time.
    in_transit
};

/// The name of a reason, as in logs.
std::string_view to_string(load_refusal reason) noexcept;

} // namespace marjorampath
