#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/time.hpp>
#include <serving/endpoint/directory.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace marjorampath::serving
{

/// Supplies the fencing numbers of orders.
struct fencing_source
{
    /// Returns the number to send with the next order; called right before each order is
    /// sent. Returns nothing while this host may not send orders.
    std::function<std::optional<std::uint64_t>()> current;
    /// Called when an engine refused an order because it has seen this higher number;
    /// zero if the refusal did not contain one.
    std::function<void(std::uint64_t)> on_refused;
};

/// The kinds of orders to an engine.
enum class adapter_order
{
    /// Load an adapter version.
    load,
    /// Unload an adapter version.
    unload
};

/// A load or unload order to an engine.
struct engine_order
{
    /// Target engine.
    directory_entry endpoint;
    /// Kind of order.
    adapter_order kind = adapter_order::load;
    /// Adapter version as `ADAPTER@VERSION`.
    std::string qualified_adapter;
};

/// Options for sending an order.
struct engine_order_options
{
    /// Time limit of the whole exchange; an order that takes longer has failed.
    duration timeout = std::chrono::seconds(30);
    /// Prefix before `ADAPTER@VERSION` in an adapter's path in the weight store.
    std::string adapter_path = "/adapters/";
};

/// Sends an order and waits for its result: `none` if the engine executed it or was
/// already in the ordered state, `owner_unreachable` if this host may not send orders,
/// `load_failed` if the engine could not load the adapter, `endpoint_refused` if it
/// refused the order, `endpoint_lost` if it did not answer.
boost::asio::awaitable<error_kind> send_order(engine_order order,
                                              engine_order_options options,
                                              fencing_source const& fencing);

} // namespace marjorampath::serving
