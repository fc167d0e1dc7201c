#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorampath
{

/// What an order makes an engine do.
enum class order_kind : std::uint8_t
{
    /// Load a base model.
    load_model,
    /// Load an adapter, or replace it by another version.
    load_adapter,
    /// Drop an adapter.
    unload_adapter
};

/// The name of a kind, as in logs.
std::string_view to_string(order_kind kind) noexcept;

/// An order for an engine.
struct planned_order
{
    /// The engine.
    endpoint_id endpoint;
    /// Process of the engine that the order is meant for.
    std::uint64_t started_at_ms = 0;
    /// What to do.
    order_kind kind = order_kind::load_adapter;
    /// Base model.
    std::string model;
    /// `MODEL/ADAPTER`; empty for an order about the model itself.
    std::string adapter;
    /// Version to load; zero for the newest.
    std::uint64_t version = 0;
    /// Fencing number of the lease under which it is given.
    std::uint64_t fencing_number = 0;
};

/// How an engine took an order.
enum class order_result : std::uint8_t
{
    /// It is being carried out.
    accepted,
    /// What it asks for holds already.
    holds,
    /// Another order is in progress.
    conflict,
    /// It was refused.
    refused,
    /// A higher fencing number is known there.
    fenced,
    /// No answer came; it may have been accepted.
    unknown
};

/// The name of a result, as in logs.
std::string_view to_string(order_result result) noexcept;

} // namespace marjorampath
