#pragma once

#include <marjorampath/adapter_load/order_basis.hpp>
#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath
{

/// The command that an order gives an engine.
enum class order_kind : std::uint8_t
{
    /// Load a base model.
    load_model,
    /// Load an adapter, or replace it with another version.
    load_adapter,
    /// Unload an adapter.
    unload_adapter
};

/// The name of an order kind for log messages.
std::string_view to_string(order_kind kind) noexcept;

/// An order to an engine.
struct planned_order
{
    /// The engine.
    endpoint_id endpoint;
    /// Start time of the engine process that the order is for, in wall-clock
    /// milliseconds.
    std::uint64_t started_at_ms = 0;
    /// The command.
    order_kind kind = order_kind::load_adapter;
    /// Base model.
    std::string model;
    /// `MODEL/ADAPTER`; empty for `order_kind::load_model`.
    std::string adapter;
    /// Version to load; zero for the newest.
    std::uint64_t version = 0;
    /// Fencing number of the lease under which the order is sent.
    std::uint64_t fencing_number = 0;
    /// Number of orders that the engine has accepted before this one. It refuses the
    /// order if it has accepted others since, so that an order which arrives late changes
    /// nothing. Unset if the engine does not count them.
    std::optional<std::uint64_t> order_count;
    /// The engine's state that the order was planned for; not sent.
    order_basis basis;
};

/// An engine's response to an order.
enum class order_result : std::uint8_t
{
    /// The engine is executing it.
    accepted,
    /// The engine is already in the requested state.
    already_done,
    /// The engine is executing another order.
    conflict,
    /// The engine refused it.
    refused,
    /// The engine has seen a higher fencing number.
    fenced,
    /// No answer was received; the order may have been accepted.
    unknown
};

/// The name of a result for log messages.
std::string_view to_string(order_result result) noexcept;

} // namespace marjorampath
